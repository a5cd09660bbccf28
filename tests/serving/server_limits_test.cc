#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/server_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jujubetide;

namespace {

const backend_server_id server("i-1");

time_point at(millis since) {
    return time_point{} + std::chrono::hours(1) + since;
}

wall_time wall_at(millis since) {
    return wall_time(millis{1'700'000'000'000} + since);
}

std::vector<node_id> names(int count) {
    std::vector<node_id> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        list.emplace_back("n" + std::to_string(i));
    }
    return list;
}

struct sent_call {
    millis at{0};
    std::size_t node = 0;
};

/// Some nodes that send to one limited server whenever they may.
struct limited_nodes {
    explicit limited_nodes(int count) {
        const std::vector<node_id> all = names(count);
        for (const node_id& own : all) {
            std::vector<node_id> others = all;
            std::erase(others, own);
            nodes.emplace_back().set_nodes(own, others);
        }
    }
    void name(std::optional<double> limit, millis since) {
        for (server_limits& node : nodes) {
            node.on_answer(server, limit, at(since));
        }
    }
    /// Each node tries to send every `gap` from `from` to `to`; each clock is `clock_skew` ahead of
    /// the one before.
    std::vector<sent_call> send(millis from, millis to, millis gap, millis clock_skew = millis{0}) {
        std::vector<sent_call> sent;
        for (millis now = from; now < to; now += gap) {
            for (std::size_t node = 0; node < nodes.size(); ++node) {
                const wall_time wall = wall_at(now + static_cast<int>(node) * clock_skew);
                if (nodes[node].may_send(server, wall)) {
                    nodes[node].on_sent(server, wall);
                    sent.push_back({now, node});
                }
            }
        }
        return sent;
    }
    std::vector<server_limits> nodes;
};

constexpr millis window{4'000};

/// Most calls in any `window`, but for those of the node `excused`.
int worst_window(const std::vector<sent_call>& sent, std::optional<std::size_t> excused = {}) {
    int worst = 0;
    for (const sent_call& first : sent) {
        const auto count = std::count_if(sent.begin(), sent.end(), [&](const sent_call& other) {
            return other.node != excused && other.at >= first.at && other.at < first.at + window;
        });
        worst = std::max(worst, static_cast<int>(count));
    }
    return worst;
}

/// What the users' rule allows in a `window` at `limit` calls a second.
double allowed(double limit) {
    return 1.5 * 4.0 * limit + 5.0;
}

} // namespace

TEST_CASE("a server without a limit gets every call") {
    server_limits limits;
    CHECK(limits.may_send(server, wall_at(millis{0})));
    CHECK_FALSE(limits.on_answer(server, std::nullopt, at(millis{0})));
    CHECK(limits.limited_servers() == 0);
    CHECK(limits.reports(at(millis{0})).empty());
}

TEST_CASE("nodes share the limit of a server, and use most of it") {
    for (const int count : {1, 2, 7, 72}) {
        for (const double limit : {0.5, 1.2, 4.0, 9.7, 30.0, 200.0}) {
            INFO(count << " nodes, limit " << limit);
            limited_nodes nodes(count);
            nodes.name(limit, millis{0});
            const std::vector<sent_call> sent = nodes.send(millis{0}, millis{40'000}, millis{50});
            CHECK(worst_window(sent) <= allowed(limit));
            // A single node that tries 20 times a second cannot send more often.
            const double possible = std::min(limit, 20.0 * count);
            CHECK(static_cast<double>(sent.size()) >= 0.8 * possible * 40.0 - 2.0);
        }
    }
}

TEST_CASE("after a pause a node does not send what it could have sent before") {
    limited_nodes nodes(7);
    nodes.name(5.0, millis{0});
    const std::vector<sent_call> sent = nodes.send(millis{30'000}, millis{30'100}, millis{10});
    CHECK(sent.size() <= 7);
}

TEST_CASE("clocks that differ do not add calls") {
    limited_nodes nodes(7);
    nodes.name(2.0, millis{0});
    const auto sent = nodes.send(millis{0}, millis{30'000}, millis{50}, millis{150});
    CHECK(worst_window(sent) <= allowed(2.0));
}

TEST_CASE("a limit of 0 still lets a rare call through, by which its end is learned") {
    limited_nodes nodes(3);
    nodes.name(0.0, millis{0});
    const auto sent = nodes.send(millis{0}, millis{60'000}, millis{50});
    CHECK(!sent.empty());
    CHECK(worst_window(sent) <= allowed(0.0));
}

TEST_CASE("an answer without a limit ends it") {
    server_limits limits;
    CHECK(limits.on_answer(server, 1.0, at(millis{0})));
    CHECK_FALSE(limits.on_answer(server, 1.0, at(millis{10})));
    CHECK_FALSE(limits.may_send(server, wall_at(millis{0})));
    CHECK(limits.on_answer(server, std::nullopt, at(millis{20})));
    CHECK(limits.may_send(server, wall_at(millis{0})));
    CHECK(limits.limited_servers() == 0);
}

TEST_CASE("peers learn a limit and its end, and older news does not undo newer") {
    server_limits one;
    server_limits two;
    one.on_answer(server, 1.5, at(millis{0}));
    const auto named = one.reports(at(millis{100}));
    two.on_peer_reports(named, at(millis{100}));
    CHECK(two.limit_of(server) == 1.5);
    CHECK(two.reports(at(millis{100})).empty()); // Only what a node read itself.
    two.on_answer(server, std::nullopt, at(millis{200}));
    two.on_peer_reports(named, at(millis{100}));
    CHECK_FALSE(two.limit_of(server));
    one.on_peer_reports(two.reports(at(millis{300})), at(millis{300}));
    CHECK_FALSE(one.limit_of(server));
    CHECK(two.reports(at(millis{5'000})).empty());
}

TEST_CASE("a limit that changes a little at each answer is still used") {
    limited_nodes nodes(3);
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
        nodes.name(i % 2 == 0 ? 2.0 : 2.1, millis{i * 1'000});
        sent += nodes.send(millis{i * 1'000}, millis{(i + 1) * 1'000}, millis{50}).size();
    }
    CHECK(sent >= 30);
}

TEST_CASE("a clock that jumps back does not stop a node for long") {
    limited_nodes nodes(1);
    nodes.name(2.0, millis{0});
    (void)nodes.send(millis{60'000}, millis{61'000}, millis{50});
    CHECK(nodes.send(millis{0}, millis{5'000}, millis{50}).size() >= 5);
}

TEST_CASE("a node that has just started and knows no other adds only its own calls") {
    limited_nodes nodes(7);
    nodes.nodes.back().set_nodes(node_id("n6"), {});
    nodes.name(1.0, millis{0});
    const auto all = nodes.send(millis{0}, millis{30'000}, millis{50});
    CHECK(worst_window(all, 6) <= allowed(1.0)); // The rule excuses a node that has just started.
    nodes.nodes.back().set_nodes(node_id("n6"), names(6));
    CHECK(worst_window(nodes.send(millis{40'000}, millis{70'000}, millis{50})) <= allowed(1.0));
}
