#include "support/simulated_cluster.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <catch2/catch.hpp>

using namespace jujubetide;
using namespace std::chrono_literals;

namespace {

cluster_shape lossy(std::size_t nodes) {
    cluster_shape shape;
    shape.nodes = nodes;
    shape.loss = 0.2;
    return shape;
}

settings_documents documents_at(std::uint64_t number) {
    settings_documents documents;
    for (int i = 0; i < 20; ++i) {
        documents["/teams/frio/services/s" + std::to_string(i)] = "kind: model\n";
    }
    documents["/teams/frio/services/s0"] = "revision: " + std::to_string(number) + "\n";
    return documents;
}

snapshot_ptr snapshot_at(const simulated_cluster& cluster, std::uint64_t number) {
    findings found;
    return cluster.builder.build(documents_at(number), revision(number), found);
}

bool all_at(const simulated_cluster& cluster, std::uint64_t number) {
    return cluster.all_running([number](const simulated_cluster::process& entry) {
        const snapshot_ptr snapshot = entry.board.settings.current();
        return snapshot && snapshot->at() == revision(number) &&
               snapshot->documents() == documents_at(number);
    });
}

} // namespace

TEST_CASE("nodes that know only the seeds find all others, with loss") {
    simulated_cluster cluster(lossy(12));
    cluster.start_all();
    CHECK(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
}

TEST_CASE("a dead node is found and a restarted one returns under a new incarnation") {
    simulated_cluster cluster(lossy(9));
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    cluster.processes[8]->running = false;
    CHECK(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    cluster.add(8);
    CHECK(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
}

TEST_CASE("a frozen node is declared dead, and refutes once thawed without blaming others") {
    simulated_cluster cluster(lossy(9));
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    auto& node = *cluster.processes[4];
    node.frozen = true;
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    cluster.run_for(60s);
    cluster.thaw(node);
    cluster.run_for(500ms);
    for (const member& known : node.board.members.all()) {
        CHECK(known.health == member_health::alive);
    }
    CHECK(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
}

TEST_CASE("a leaving host and a version taken back are known at all nodes within seconds") {
    simulated_cluster cluster(lossy(12));
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    const host_id host("host-7777");
    version_move move;
    move.id = move_id("m1");
    move.service = service_id("diagnosis");
    move.state = move_state::taken_back;
    move.evidence = "errors on one route";
    cluster.processes[3]->node.leaving_host(host);
    cluster.processes[5]->node.move(move);
    const auto known = [&] {
        return cluster.all_running([&](const simulated_cluster::process& entry) {
            const auto found = entry.board.moves.of_service(move.service);
            return entry.board.backends.is_leaving(host) && found &&
                   found->evidence == move.evidence;
        });
    };
    CHECK(cluster.run_until(known, 3s) >= 0us);
}

TEST_CASE("settings spread as deltas, never revert, and reach a node that was cut off") {
    simulated_cluster cluster(lossy(12));
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    cluster.processes[0]->node.settings(snapshot_at(cluster, 5));
    CHECK(cluster.run_until([&] { return all_at(cluster, 5); }, 11s) >= 0us);
    auto& cut = *cluster.processes[7];
    cluster.reachable = [&cut](const member& from, const member& to) {
        return from.node != cut.record.node && to.node != cut.record.node;
    };
    cluster.processes[1]->node.settings(snapshot_at(cluster, 6));
    cluster.processes[2]->node.settings(snapshot_at(cluster, 8));
    cluster.run_for(60s);
    CHECK(cut.board.settings.current()->at() == revision(5));
    cluster.reachable = nullptr;
    CHECK(cluster.run_until([&] { return all_at(cluster, 8); }, 30s) >= 0us);
    cluster.processes[3]->node.settings(snapshot_at(cluster, 6));
    cluster.run_for(5s);
    CHECK(all_at(cluster, 8));
}

TEST_CASE("a fresh node loads settings from peers in several failure domains before it serves") {
    simulated_cluster cluster(lossy(12));
    cluster.start_all();
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
    cluster.processes[0]->node.settings(snapshot_at(cluster, 5));
    REQUIRE(cluster.run_until([&] { return all_at(cluster, 5); }, 11s) >= 0us);
    for (std::size_t number = 20; number < 30; ++number) {
        auto& fresh = cluster.add(number);
        CHECK_FALSE(fresh.node.settings_ready());
        CHECK(cluster.run_until([&] { return fresh.node.settings_ready(); }, 30s) >= 0us);
        CHECK(fresh.board.settings.current()->at() == revision(5));
    }
}

TEST_CASE("mutated messages are refused or joined and never end the process") {
    simulated_cluster cluster(lossy(5));
    std::vector<peer_message> samples;
    for (int i = 0; i < 10; ++i) {
        backend_server_settings server;
        server.id = backend_server_id("engine-" + std::to_string(i));
        server.failure_domain = failure_domain_id("domain-" + std::to_string(i % 4));
        cluster.builder.servers.push_back(server);
    }
    cluster.after_tick = [](simulated_cluster::process& entry) {
        for (const backend_server_id& id : entry.node.watched_servers()) {
            entry.node.report_load(id, {});
        }
    };
    cluster.start_all();
    cluster.run_for(5s);
    cluster.processes[4]->frozen = true;
    cluster.processes[0]->node.settings(snapshot_at(cluster, 5));
    cluster.run_for(3s);
    samples = cluster.processes[4]->held;
    REQUIRE(samples.size() > 10);
    seeded_random random(42);
    std::size_t refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        peer_message message = samples[random.below(samples.size())];
        for (std::uint64_t i = random.below(6) + 1; i > 0 && !message.body.empty(); --i) {
            const std::size_t place = random.below(message.body.size());
            switch (random.below(3)) {
            case 0:
                message.body[place] = static_cast<char>(random.below(256));
                break;
            case 1:
                message.body.resize(place);
                break;
            default:
                message.body.insert(place, 1, static_cast<char>(random.below(256)));
                break;
            }
        }
        const absl::Status status = cluster.processes[1]->node.on_message(message);
        refused += status.ok() ? 0 : 1;
    }
    CHECK(refused > 1000);
}
