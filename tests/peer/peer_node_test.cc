#include "support/simulated_cluster.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/edge/thread_timer_service.h"
#include "jujubetide/peer/nghttp2_peer_link.h"
#include "jujubetide/peer/peer_node.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace jujubetide;
using namespace std::chrono_literals;

namespace {

/// One node with its real link, timer and clock.
struct real_node {
    real_node(const std::string& name, const std::string& domain,
              const std::vector<endpoint>& seeds) {
        settings.node = node_id(name);
        settings.host = host_id("host-" + name);
        settings.failure_domain = failure_domain_id(domain);
        settings.region = region_id("region");
        settings.seeds = seeds;
        link = *nghttp2_peer_link::make({"127.0.0.1", 0}, settings.node);
        settings.peer_listen = link->listening();
        auto made = peer_node::make(settings, node_role::entry, {"127.0.0.1", 80}, board, *link,
                                    timers, time, random, builder, log);
        REQUIRE(made.ok());
        node = *std::move(made);
        node->start();
    }
    ~real_node() {
        link->stop();
        node.reset();
    }
    real_node(const real_node&) = delete;
    real_node& operator=(const real_node&) = delete;

    process_settings settings;
    blackboard board;
    thread_timer_service timers;
    boot_clock time;
    seeded_random random{1};
    fake_snapshot_builder builder;
    silent_log log;
    std::unique_ptr<nghttp2_peer_link> link;
    std::unique_ptr<peer_node> node;
};

template <class Condition>
bool eventually(Condition&& condition) {
    for (int i = 0; i < 1200; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

} // namespace

TEST_CASE("real nodes find each other, spread facts and settings, and notice a death") {
    std::vector<std::unique_ptr<real_node>> nodes;
    nodes.push_back(std::make_unique<real_node>("n0", "a", std::vector<endpoint>{}));
    const std::vector<endpoint> seeds{nodes[0]->settings.peer_listen};
    for (int i = 1; i < 5; ++i) {
        nodes.push_back(std::make_unique<real_node>(
            "n" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), seeds));
    }
    const auto at_all = [&nodes](auto&& condition) {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const auto& entry) { return condition(*entry); });
    };
    REQUIRE(eventually([&] {
        return at_all([](const real_node& entry) { return entry.board.members.all().size() == 5; });
    }));

    findings found;
    nodes[2]->node->publisher().settings(
        nodes[2]->builder.build({{"/teams/a/services/s", "kind: model"}}, revision(3), found));
    nodes[3]->node->publisher().leaving_host(host_id("h"));
    CHECK(eventually([&] {
        return at_all([](const real_node& entry) {
            const snapshot_ptr snapshot = entry.board.settings.current();
            return snapshot && snapshot->at() == revision(3) && entry.node->settings_ready() &&
                   entry.board.backends.is_leaving(host_id("h"));
        });
    }));

    nodes.pop_back();
    CHECK(eventually([&] {
        return at_all([](const real_node& entry) {
            return entry.board.members.find(node_id("n4"))->health == member_health::dead;
        });
    }));
}
