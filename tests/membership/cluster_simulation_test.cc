// The real membership and blackboard code of a whole cluster on a fake clock and transport. Bounds
// are the users' targets.
#include "support/simulated_cluster.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <numeric>

using namespace jujubetide;
using namespace std::chrono_literals;

namespace {

cluster_shape full_size(double loss) {
    cluster_shape shape;
    shape.nodes = 390;
    shape.regions = 2;
    shape.loss = loss;
    shape.seed = 20'261'203;
    return shape;
}

void start(simulated_cluster& cluster) {
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 120s, 1s) >= 0us);
}

void publish(simulated_cluster& cluster, std::size_t at, std::uint64_t number) {
    settings_documents documents{{"/teams/frio/services/a", std::to_string(number)},
                                 {"/teams/frio/services/b", "kind: model"}};
    findings found;
    cluster.processes[at]->node.settings(cluster.builder.build(documents, revision(number), found));
}

auto at_revision(std::uint64_t number) {
    return [number](const simulated_cluster::process& entry) {
        const snapshot_ptr snapshot = entry.board.settings.current();
        return snapshot && snapshot->at() == revision(number);
    };
}

std::set<node_id> dead_at(const simulated_cluster::process& entry) {
    std::set<node_id> dead;
    for (const member& known : entry.board.members.all()) {
        if (known.health == member_health::dead) {
            dead.insert(known.node);
        }
    }
    return dead;
}

double seconds(micros duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

constexpr double bytes_bound = 28.0 * 1024.0;

/// Bytes a second, in and out, of the busiest node of a cluster before 600 engines at full load
/// and with demand of ten customers of two services at each node.
double busiest_bytes(const cluster_shape& shape) {
    constexpr int window_seconds = 15;
    simulated_cluster cluster(shape);
    start(cluster);
    cluster.declare_engines(600);
    cluster.declare_customers(10, {service_id("diagnosis"), service_id("dispatch")});
    publish(cluster, 0, 1);
    cluster.report_loads([&cluster] { return cluster.random_load(); });
    cluster.report_demand();
    cluster.run_for(15s);
    cluster.reset_counters();
    cluster.run_for(micros(window_seconds * 1'000'000LL));
    double busiest = 0.0;
    for (const auto& entry : cluster.processes) {
        const std::uint64_t bytes =
            std::accumulate(entry->bytes_in.begin(), entry->bytes_in.end(), std::uint64_t{0}) +
            std::accumulate(entry->bytes_out.begin(), entry->bytes_out.end(), std::uint64_t{0});
        busiest = std::max(busiest, static_cast<double>(bytes) / window_seconds);
    }
    std::cout << "busiest of " << shape.nodes << " nodes: " << busiest << " bytes/s in and out\n";
    return busiest;
}

} // namespace

TEST_CASE("simulation: 390 nodes, 20 % loss: settings within 11 s, a leaving host within 3 s") {
    simulated_cluster cluster(full_size(0.2));
    start(cluster);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        publish(cluster, number * 70, number);
        const micros took =
            cluster.run_until([&] { return cluster.all_running(at_revision(number)); }, 60s);
        std::cout << "settings in force at 390 nodes after " << seconds(took) << " s\n";
        CHECK(took >= 0us);
        CHECK(took <= 11s);
        const host_id host("leaving-" + std::to_string(number));
        cluster.processes[number * 60]->node.leaving_host(host);
        const micros left = cluster.run_until(
            [&] {
                return cluster.all_running([&host](const simulated_cluster::process& entry) {
                    return entry.board.backends.is_leaving(host);
                });
            },
            60s);
        std::cout << "leaving host known at 390 nodes after " << seconds(left) << " s\n";
        CHECK(left >= 0us);
        CHECK(left <= 3s);
    }
}

TEST_CASE("simulation: 390 nodes, 600 engines: no node takes and gives more than 28 KB/s") {
    CHECK(busiest_bytes(full_size(0.0)) <= bytes_bound);
}

TEST_CASE("simulation: 200 nodes, 20 % loss: no node takes and gives more than 28 KB/s") {
    cluster_shape shape = full_size(0.2);
    shape.nodes = 200;
    for (const std::uint64_t seed : {1, 20'261'203}) {
        shape.seed = seed;
        CHECK(busiest_bytes(shape) <= bytes_bound);
    }
}

TEST_CASE("simulation: two regions lose each other for an hour and heal") {
    cluster_shape shape = full_size(0.0);
    shape.nodes = 100;
    simulated_cluster cluster(shape);
    start(cluster);
    publish(cluster, 0, 1);
    cluster.run_for(20s);
    cluster.reachable = [](const member& from, const member& to) {
        return from.region == to.region;
    };
    cluster.run_for(30s);
    publish(cluster, 0, 2);
    cluster.processes[1]->node.leaving_host(host_id("left-in-region-1"));
    cluster.run_for(std::chrono::hours(1));
    CHECK(cluster.count_running(at_revision(2)) == 50);
    cluster.reachable = nullptr;
    const micros took = cluster.run_until(
        [&] {
            return cluster.converged() && cluster.all_running(at_revision(2)) &&
                   cluster.all_running([](const simulated_cluster::process& entry) {
                       return entry.board.backends.is_leaving(host_id("left-in-region-1"));
                   });
        },
        120s);
    std::cout << "regions joined again after " << seconds(took) << " s\n";
    CHECK(took >= 0us);
}

TEST_CASE("simulation: all nodes are replaced one by one") {
    cluster_shape shape = full_size(0.2);
    shape.nodes = 100;
    simulated_cluster cluster(shape);
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 120s, 1s) >= 0us);
    publish(cluster, 0, 1);
    cluster.run_for(10s);
    for (std::size_t i = 0; i < 100; ++i) {
        cluster.seed_offset = i + 1;
        cluster.processes[i]->node.leaving_self();
        cluster.add(100 + i);
        cluster.run_for(2s);
        cluster.processes[i]->running = false;
        cluster.run_for(1s);
    }
    const micros took = cluster.run_until(
        [&] { return cluster.converged() && cluster.all_running(at_revision(1)); }, 60s, 500ms);
    std::cout << "replaced cluster agrees after " << seconds(took) << " s\n";
    CHECK(took >= 0us);
    CHECK(cluster.running() == 100);
}

TEST_CASE("simulation: a whole failure domain is lost at once") {
    simulated_cluster cluster(full_size(0.2));
    start(cluster);
    for (const auto& entry : cluster.processes) {
        if (entry->record.failure_domain == failure_domain_id("domain-3")) {
            entry->running = false;
        }
    }
    const micros took = cluster.run_until([&] { return cluster.converged(); }, 60s, 500ms);
    std::cout << "lost failure domain known at all nodes after " << seconds(took) << " s\n";
    CHECK(took >= 0us);
    publish(cluster, 0, 1);
    const micros spread =
        cluster.run_until([&] { return cluster.all_running(at_revision(1)); }, 60s);
    CHECK(spread >= 0us);
    CHECK(spread <= 11s);
}

TEST_CASE("simulation: a frozen node thaws, refutes and blames nobody") {
    simulated_cluster cluster(full_size(0.2));
    start(cluster);
    auto& frozen = *cluster.processes[200];
    frozen.frozen = true;
    publish(cluster, 0, 1);
    cluster.run_for(120s);
    // With a fifth of all messages lost, some node is always suspected and about to refute; dead is
    // nobody but the frozen one.
    CHECK(cluster.all_running([&](const simulated_cluster::process& entry) {
        return dead_at(entry) == std::set<node_id>{frozen.record.node};
    }));
    cluster.thaw(frozen);
    cluster.run_for(400ms);
    CHECK(dead_at(frozen).empty());
    CHECK(dead_at(*cluster.processes[0]).size() <= 1);
    const micros took = cluster.run_until(
        [&] { return cluster.converged() && cluster.all_running(at_revision(1)); }, 60s, 500ms);
    std::cout << "thawed node is a member again after " << seconds(took) << " s\n";
    CHECK(took >= 0us);
}
