#include "node/peer_exchange.h"
#include "node_fixture.h"
#include "support/manual_clock.h"
#include "support/manual_timer_service.h"
#include "support/test_ports.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

struct peers_fixture {
    peers_fixture() {
        node_settings settings;
        settings.node = node_id("n1");
        settings.caller_endpoint = {"10.0.0.1", 80};
        settings.peer_endpoint = {"127.0.0.1", own_port(0)};
        state = std::make_unique<serving_state>(settings, loop, timers, time, log, random, headers);
        state->config = serving_config::make({});
        peers = *peer_exchange::make(*state, store, incarnation(1));
        peers->start();
    }
    void add_row(const std::string& name, const std::string& callers,
                 const std::string& peer_address = "127.0.0.1:9") {
        stored_row row;
        row.key = name;
        row.value = nlohmann::json{
            {"start", 1},
            {"callers", callers},
            {"peers", peer_address},
            {"failure_domain",
             "z"}}.dump();
        peers->on_changes({row});
    }
    /// Sends the node a heartbeat of a ready peer and waits until it has arrived.
    void receive_heartbeat(const std::string& name,
                           std::map<usage_window, usage_counts> usage = {}) {
        peer_heartbeat heartbeat;
        heartbeat.usage = std::move(usage);
        receive_heartbeat(name, std::move(heartbeat));
    }
    void receive_reader_heartbeat(const std::string& name) {
        peer_heartbeat heartbeat;
        heartbeat.follows_tables = true;
        heartbeat.table_versions.emplace_back(1);
        heartbeat.table_eras.emplace_back(1);
        heartbeat.cores = state->settings.cores + 1;
        receive_heartbeat(name, std::move(heartbeat));
    }
    void receive_heartbeat(const std::string& name, peer_heartbeat heartbeat) {
        heartbeat.node = node_id(name);
        heartbeat.start = incarnation(1);
        heartbeat.is_ready = true;
        const service_id marker("heartbeat-" + std::to_string(++heartbeat_count));
        heartbeat.demand[marker] = 1.0;
        const auto socket = *udp_socket::make(loop, {"127.0.0.1", 0}, [](std::string_view) {});
        socket->send({"127.0.0.1", own_port(0)}, encode(heartbeat));
        REQUIRE(run_until(loop, [&] { return peers->total_demand().contains(marker); }));
    }
    void advance(millis step) {
        for (millis done{0}; done < step; done += millis{50}) {
            time.advance(millis{50});
            timers.advance(millis{50});
        }
    }
    [[nodiscard]] std::set<std::string> directory_addresses() const {
        std::set<std::string> list;
        for (const directory_entry& entry : peers->directory()) {
            list.insert(entry.caller_address.address);
        }
        return list;
    }

    int heartbeat_count = 0;
    event_loop loop;
    manual_timer_service timers;
    manual_clock time;
    recorded_log log;
    seeded_random random{1};
    platform::call_headers headers;
    fake_row_store store{timers};
    std::unique_ptr<serving_state> state;
    std::unique_ptr<peer_exchange> peers;
};

} // namespace

TEST_CASE("the directory lists a peer only after its first heartbeat") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    CHECK(fixture.directory_addresses() == std::set<std::string>{"10.0.0.1"});
    fixture.receive_heartbeat("n2");
    CHECK(fixture.directory_addresses() == std::set<std::string>{"10.0.0.1", "10.0.0.2"});
}

TEST_CASE("the directory drops a silent peer while other peers are heard") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.add_row("n3", "10.0.0.3:80");
    fixture.receive_heartbeat("n2");
    fixture.advance(millis{1'500});
    fixture.receive_heartbeat("n3");
    CHECK(fixture.directory_addresses() == std::set<std::string>{"10.0.0.1", "10.0.0.3"});
}

TEST_CASE("a node that hears no peer keeps listing the others for a short time only") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.receive_heartbeat("n2");
    fixture.advance(millis{2'000});
    CHECK(fixture.directory_addresses().size() == 2);
    fixture.advance(millis{4'000});
    CHECK(fixture.directory_addresses() == std::set<std::string>{"10.0.0.1"});
}

TEST_CASE("a node that removed its row is no longer listed, but its usage counts are still added") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.receive_heartbeat("n2");
    stored_row removed_row;
    removed_row.key = "n2";
    removed_row.removed = true;
    fixture.peers->on_changes({removed_row});
    CHECK(fixture.directory_addresses() == std::set<std::string>{"10.0.0.1"});
    const usage_window window(5);
    fixture.receive_heartbeat("n2", {{window, {{customer_id("c"), 3}}}});
    CHECK(fixture.state->usage.total(window)[customer_id("c")] == 3);
    fixture.advance(millis{2'000});
    CHECK(fixture.peers->live_peers() == 0);
}

TEST_CASE("a node rewrites its row after another node removed it") {
    peers_fixture fixture;
    fixture.advance(millis{100});
    REQUIRE(fixture.store.rows(peer_exchange::table).size() == 1);
    fixture.store.remove(peer_exchange::table, "n1");
    stored_row removed_row;
    removed_row.key = "n1";
    removed_row.removed = true;
    fixture.peers->on_changes({removed_row});
    fixture.advance(millis{100});
    CHECK(fixture.store.rows(peer_exchange::table).size() == 1);
}

TEST_CASE("heartbeats sent per second do not grow with more than a hundred nodes") {
    peers_fixture fixture;
    const std::uint16_t receiver_port = own_port(1);
    int received = 0;
    const auto receiver = *udp_socket::make(fixture.loop, {"127.0.0.1", receiver_port},
                                            [&received](std::string_view) { ++received; });
    fixture.add_row("receiver", "10.0.0.2:80", "127.0.0.1:" + std::to_string(receiver_port));
    const auto received_in = [&](millis time) {
        const int before = received;
        fixture.advance(time);
        run_for(fixture.loop, millis{200});
        return received - before;
    };
    constexpr millis nine_seconds{9'000};
    CHECK(received_in(nine_seconds) >= 28);
    for (int i = 0; i < 299; ++i) {
        fixture.add_row("n" + std::to_string(i + 10), "10.0.1.1:80");
    }
    const int with_many_peers = received_in(nine_seconds);
    CHECK(with_many_peers >= 6);
    // With 300 peers, the node sends no more than 100 heartbeats in each 0.3 s.
    CHECK(with_many_peers <= 9);
    CHECK(fixture.peers->silence_limit() > micros{3'600'000});
}

TEST_CASE("a table reader tells of changes as soon among three hundred nodes as among few") {
    peers_fixture fixture;
    const std::uint16_t receiver_port = own_port(1);
    int received = 0;
    const auto receiver = *udp_socket::make(fixture.loop, {"127.0.0.1", receiver_port},
                                            [&received](std::string_view) { ++received; });
    fixture.add_row("receiver", "10.0.0.2:80", "127.0.0.1:" + std::to_string(receiver_port));
    for (int i = 0; i < 299; ++i) {
        fixture.add_row("n" + std::to_string(i + 10), "10.0.1.1:80");
    }
    fixture.peers->set_store_access(true, true);
    REQUIRE(fixture.peers->is_table_reader());
    fixture.advance(millis{9'000});
    run_for(fixture.loop, millis{200});
    CHECK(received >= 28);
}

TEST_CASE("the end of all table readers is noticed within a drain among three hundred nodes") {
    const int count = GENERATE(5, 300);
    peers_fixture fixture;
    for (int i = 0; i < count; ++i) {
        fixture.add_row("n" + std::to_string(i + 10), "10.0.1.1:80");
    }
    for (const std::string reader : {"n10", "n11", "n12"}) {
        fixture.receive_reader_heartbeat(reader);
    }
    CHECK(fixture.peers->has_live_table_reader());
    CHECK_FALSE(fixture.peers->is_table_reader());
    fixture.advance(millis{900});
    CHECK(fixture.peers->has_live_table_reader());
    CHECK_FALSE(fixture.peers->is_table_reader());
    // Of the 2 s that a server goes on after it reported that it drains.
    fixture.advance(millis{500});
    CHECK_FALSE(fixture.peers->has_live_table_reader());
    CHECK(fixture.peers->is_table_reader());
}

TEST_CASE("live peers whose rows a restored store lacks stay in the directory") {
    peers_fixture fixture;
    fixture.peers->on_snapshot({}, {store_era(1), row_version(5)});
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.receive_heartbeat("n2");
    fixture.add_row("n3", "10.0.0.3:80");
    REQUIRE(fixture.directory_addresses().contains("10.0.0.2"));
    fixture.peers->on_snapshot({}, {store_era(2), row_version(1)});
    CHECK(fixture.directory_addresses().contains("10.0.0.2"));
    // The node writes its own row again.
    fixture.advance(millis{100});
    CHECK(fixture.store.rows(peer_exchange::table).contains("n1"));
    // A peer that has ended since is forgotten, as if its row had been removed.
    fixture.advance(millis{10'000});
    CHECK(fixture.state->nodes == 1);
}
