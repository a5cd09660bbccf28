#include "jujubetide/serving/usage_cap.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

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
    explicit cap_cluster(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.emplace_back(random);
        }
        for (usage_cap& node : nodes) {
            node.set_nodes(count, count);
        }
    }
    void tell(time_point at) {
        for (std::size_t from = 0; from < nodes.size(); ++from) {
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (from != to && !is_cut(from) && !is_cut(to)) {
                    nodes[to].on_peer_usage(node_id("n" + std::to_string(from)), incarnation(1),
                                            nodes[from].all_usage(at), at);
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

    seeded_random random{7};
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

TEST_CASE("nodes that hear each other again do not charge what each was entitled to meanwhile") {
    cap_cluster cluster(7);
    (void)cluster.play(std::chrono::seconds(3), millis{10}, 6'000.0, 7);
    cluster.cut = {4, 5, 6};
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
        cluster.nodes[i].set_nodes(i < 4 ? 4 : 1, 7);
    }
    (void)cluster.play(std::chrono::seconds(12), millis{10}, 6'000.0, 7);
    cluster.cut.clear();
    for (usage_cap& node : cluster.nodes) {
        node.set_nodes(7, 7);
    }
    (void)cluster.play(std::chrono::seconds(4), millis{100}, 6'000.0, 7);
    CHECK(cluster.play(std::chrono::seconds(4), millis{100}, 6'000.0, 7) >= 0.8 * cap * 4.0);
    double least = cap;
    double most = -cap;
    for (usage_cap& node : cluster.nodes) {
        // More than the bucket can hold, so that only its level is told.
        const double level = node.admit(cluster.customer, 100.0 * cap, cluster.now).level;
        least = std::min(least, level);
        most = std::max(most, level);
    }
    CHECK(most - least <= 0.5 * cap);
}

TEST_CASE("calls within the cap are never refused") {
    cap_cluster cluster(7);
    cluster.play(std::chrono::seconds(2), millis{100}, 1'000.0, 7);
    const double admitted = cluster.play(window, millis{100}, 1'000.0, 7);
    CHECK(admitted == Approx(7 * 1'000.0 * 80));
}

TEST_CASE("a refusal says when the call would pass, and a refund gives the usage back") {
    seeded_random random{1};
    usage_cap node(random);
    const serving_customer customer = capped_customer();
    time_point now{micros{10'000'000}};
    CHECK(node.admit(customer, cap / 2, now).admitted);
    const auto refused = node.admit(customer, 10'000.0, now);
    REQUIRE_FALSE(refused.admitted);
    // No sooner than the bucket holds enough, and not all callers at the same time.
    constexpr millis until_enough{100};
    CHECK(refused.retry_after >= until_enough);
    CHECK(refused.retry_after <= millis{600});
    now += until_enough + millis{1};
    CHECK(node.admit(customer, 10'000.0, now).admitted);
    CHECK_FALSE(node.admit(customer, 10'000.0, now).admitted);
    node.refund(customer, 10'000.0, now);
    CHECK(node.admit(customer, 10'000.0, now).admitted);
}

namespace {

/// Many nodes that tell each other in turn, and callers that come back when they are told to.
struct loud_customer {
    struct call {
        time_point at;
        bool is_first;
    };

    /// Plays a quiet time and a loud one; what each call used, by time.
    std::vector<std::pair<time_point, double>> play(micros quiet, micros loud, double asked) {
        std::vector<std::pair<time_point, double>> admitted;
        const time_point begin = cluster.now;
        double due = 0.0;
        for (; cluster.now - begin < quiet + loud; cluster.now += step) {
            tell_one();
            const bool is_loud = cluster.now - begin >= quiet;
            due += (is_loud ? asked : cap / 20.0) * std::chrono::duration<double>(step).count();
            while (due >= call_tokens) {
                waiting_.push_back({cluster.now, true});
                due -= call_tokens;
            }
            for (const call& one : take_due()) {
                ask(one, admitted);
            }
        }
        return admitted;
    }

    static constexpr std::size_t count = 72;
    /// Each node tells every 300 ms.
    static constexpr micros step{4'167};
    static constexpr double call_tokens = cap / 45.0;
    cap_cluster cluster{count};

private:
    void tell_one() {
        const std::size_t teller = turn_++ % count;
        for (std::size_t to = 0; to < count; ++to) {
            if (to != teller) {
                cluster.nodes[to].on_peer_usage(
                    node_id("n" + std::to_string(teller)), incarnation(1),
                    cluster.nodes[teller].all_usage(cluster.now), cluster.now);
            }
        }
    }
    std::vector<call> take_due() {
        std::vector<call> due;
        std::copy_if(waiting_.begin(), waiting_.end(), std::back_inserter(due),
                     [this](const call& one) { return one.at <= cluster.now; });
        std::erase_if(waiting_, [this](const call& one) { return one.at <= cluster.now; });
        return due;
    }
    void ask(const call& one, std::vector<std::pair<time_point, double>>& admitted) {
        const auto decision = cluster.nodes[(asked_++ * 31) % count].admit(
            cluster.customer, call_tokens, cluster.now);
        if (decision.admitted) {
            admitted.emplace_back(cluster.now, call_tokens);
        } else if (one.is_first) {
            waiting_.push_back({cluster.now + decision.retry_after, false});
        }
    }

    std::vector<call> waiting_;
    std::uint64_t turn_ = 0;
    std::size_t asked_ = 0;
};

double most_in_window(const std::vector<std::pair<time_point, double>>& admitted) {
    double most = 0.0;
    for (std::size_t from = 0; from < admitted.size(); ++from) {
        double sum = 0.0;
        for (std::size_t i = from;
             i < admitted.size() && admitted[i].first - admitted[from].first < window; ++i) {
            sum += admitted[i].second;
        }
        most = std::max(most, sum);
    }
    return most;
}

} // namespace

TEST_CASE(
    "the cap of a loud customer holds at many nodes whose refused callers come back at once") {
    loud_customer load;
    const auto admitted = load.play(std::chrono::seconds(3), std::chrono::seconds(16), 7.5 * cap);
    const double most = most_in_window(admitted);
    // The cap's rate over the window and its burst, with the tenth that the users tolerate.
    constexpr double owed = cap * window.count() + cap;
    CHECK(most <= owed * 1.1);
    // It gets what it is due nevertheless.
    CHECK(most >= owed * 0.9);
}

TEST_CASE("a loud customer's calls pass evenly, not in stampedes that leave nothing for seconds") {
    loud_customer load;
    const auto admitted = load.play(std::chrono::seconds(3), std::chrono::seconds(12), 7.5 * cap);
    std::map<std::int64_t, double> by_second;
    for (const auto& [at, usage] : admitted) {
        by_second[std::chrono::floor<std::chrono::seconds>(at.time_since_epoch()).count()] += usage;
    }
    // From the second after its burst is used up, until the last whole one.
    const std::int64_t first = by_second.rbegin()->first - 9;
    for (std::int64_t second = first; second < by_second.rbegin()->first; ++second) {
        CHECK(by_second[second] >= 0.5 * cap);
        CHECK(by_second[second] <= 1.6 * cap);
    }
}

TEST_CASE("a node tells the customers that asked lately, and at times all") {
    seeded_random random{1};
    usage_cap node(random);
    time_point now{micros{10'000'000}};
    serving_customer other = capped_customer();
    other.id = customer_id("other");
    (void)node.admit(capped_customer(), 10.0, now);
    now += std::chrono::seconds(3);
    (void)node.admit(other, 20.0, now);
    REQUIRE(node.recent_usage(now).size() == 1);
    CHECK(node.recent_usage(now)[0].customer == other.id);
    CHECK(node.all_usage(now).size() == 2);
}

TEST_CASE(
    "what a customer used during a silence is not charged when it is told later than others") {
    seeded_random random{1};
    usage_cap node(random);
    const serving_customer customer = capped_customer();
    time_point now{micros{10'000'000}};
    const node_id peer("n2");
    const incarnation start(1);
    const auto tell = [&](double total) {
        node.on_peer_usage(peer, start, {{customer.id, total, total, 0.5 * cap}}, now);
    };
    // Its bucket is half full at the start.
    CHECK(node.admit(customer, 0.0, now).level == Approx(0.5 * cap));
    node.on_peer_usage(peer, start, {}, now);
    tell(1'000.0);
    CHECK(node.admit(customer, 0.0, now).level == Approx(0.5 * cap - 1'000.0).margin(1'000.0));
    now += std::chrono::seconds(10); // Silence; the bucket is full again.
    node.on_peer_usage(peer, start, {}, now);
    now += millis{300};
    tell(10.0 * cap);
    CHECK(node.admit(customer, 0.0, now).level >= 0.4 * cap);
    now += millis{300};
    tell(10.0 * cap + 5'000.0);
    CHECK(node.admit(customer, 0.0, now).level >= 0.4 * cap);
}
