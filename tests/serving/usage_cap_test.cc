#include "jujubetide/serving/usage_cap.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jujubetide;

namespace {

constexpr double cap = 100'000.0;
constexpr millis tell_period{300};

serving_customer capped_customer() {
    serving_customer customer;
    customer.id = customer_id("c");
    customer.cap_per_second = cap;
    customer.cap_burst = cap;
    return customer;
}

/// Several nodes that hold one customer's cap and tell each other what they admitted.
struct cap_cluster {
    explicit cap_cluster(std::size_t count) : nodes(count) {
        for (usage_cap& node : nodes) {
            node.set_nodes(count, count);
        }
    }
    void tell(time_point at) {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (from != to && !is_cut(from) && !is_cut(to)) {
                    nodes[to].on_peer_spending(node_id("n" + std::to_string(from)), incarnation(1),
                                               nodes[from].spending(), at);
                }
            }
        }
    }
    /// Each node that gets calls is asked for `call` tokens each `gap`; returns what was admitted.
    double play(micros duration, micros gap, double call, std::size_t asked_nodes) {
        double admitted = 0.0;
        const time_point end = now + duration;
        for (time_point told = now; now < end; now += gap) {
            if (now - told >= tell_period) {
                tell(now);
                told = now;
            }
            for (std::size_t node = 0; node < asked_nodes; ++node) {
                admitted += nodes[node].admit(customer, call, now).admitted ? call : 0.0;
            }
        }
        return admitted;
    }
    [[nodiscard]] bool is_cut(std::size_t node) const {
        return std::find(cut.begin(), cut.end(), node) != cut.end();
    }

    std::vector<usage_cap> nodes;
    std::vector<std::size_t> cut;
    serving_customer customer = capped_customer();
    time_point now{micros{10'000'000}};
};

constexpr std::chrono::seconds window{8};
/// What the cap allows in a window, with the overrun that the users grant.
constexpr double allowed = (cap * window.count() + cap) * 1.1 + 190'000.0;

} // namespace

TEST_CASE("a customer that asks all nodes for many times its cap gets about its cap") {
    cap_cluster cluster(7);
    (void)cluster.play(std::chrono::seconds(5), millis{10}, 6'000.0, 7);
    const double admitted = cluster.play(window, millis{10}, 6'000.0, 7);
    CHECK(admitted <= allowed);
    CHECK(admitted >= 0.8 * cap * window.count());
}

TEST_CASE("a customer that asks one node only gets its whole cap there") {
    cap_cluster cluster(7);
    const double admitted = cluster.play(window, millis{10}, 6'000.0, 1);
    CHECK(admitted >= 0.9 * cap * window.count());
    CHECK(admitted <= allowed);
}

TEST_CASE("the cap holds when nodes cannot hear each other") {
    cap_cluster cluster(7);
    (void)cluster.play(std::chrono::seconds(3), millis{10}, 6'000.0, 7);
    cluster.cut = {0, 1, 2, 3, 4, 5, 6};
    for (usage_cap& node : cluster.nodes) {
        node.set_nodes(1, 7);
    }
    CHECK(cluster.play(window, millis{10}, 6'000.0, 7) <= allowed);
}

TEST_CASE("calls within the cap are never refused") {
    cap_cluster cluster(7);
    cluster.play(std::chrono::seconds(2), millis{100}, 1'000.0, 7);
    const double admitted = cluster.play(window, millis{100}, 1'000.0, 7);
    CHECK(admitted == Approx(7 * 1'000.0 * 80));
}

TEST_CASE("a refusal says when the call would pass, and a refund gives the usage back") {
    usage_cap node;
    const serving_customer customer = capped_customer();
    time_point now{micros{10'000'000}};
    CHECK(node.admit(customer, cap / 2, now).admitted);
    const auto refused = node.admit(customer, 10'000.0, now);
    REQUIRE_FALSE(refused.admitted);
    now += refused.retry_after + millis{1};
    CHECK(node.admit(customer, 10'000.0, now).admitted);
    CHECK_FALSE(node.admit(customer, 10'000.0, now).admitted);
    node.refund(customer, 10'000.0, now);
    CHECK(node.admit(customer, 10'000.0, now).admitted);
}
