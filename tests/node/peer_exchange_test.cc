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
                 const std::string& peers_at = "127.0.0.1:9") {
        stored_row row;
        row.key = name;
        row.value = nlohmann::json{
            {"start", 1},
            {"callers", callers},
            {"peers", peers_at},
            {"failure_domain",
             "z"}}.dump();
        peers->on_changes({row});
    }
    /// Lets the node hear a ready peer.
    void hear(const std::string& name, std::map<usage_window, usage_counts> usage = {}) {
        peer_digest digest;
        digest.usage = std::move(usage);
        digest.node = node_id(name);
        digest.start = incarnation(1);
        digest.is_ready = true;
        const service_id marker("digest-" + std::to_string(++digests));
        digest.demand[marker] = 1.0;
        const auto socket = *udp_socket::make(loop, {"127.0.0.1", 0}, [](std::string_view) {});
        socket->send({"127.0.0.1", own_port(0)}, encode(digest));
        REQUIRE(run_until(loop, [&] { return peers->total_demand().contains(marker); }));
    }
    void advance(millis step) {
        for (millis done{0}; done < step; done += millis{50}) {
            time.advance(millis{50});
            timers.advance(millis{50});
        }
    }
    [[nodiscard]] std::set<std::string> named() const {
        std::set<std::string> list;
        for (const directory_entry& one : peers->directory()) {
            list.insert(one.callers.address);
        }
        return list;
    }

    int digests = 0;
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

TEST_CASE("the directory names a peer only once it was heard") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    CHECK(fixture.named() == std::set<std::string>{"10.0.0.1"});
    fixture.hear("n2");
    CHECK(fixture.named() == std::set<std::string>{"10.0.0.1", "10.0.0.2"});
}

TEST_CASE("the directory drops a silent peer while others are heard") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.add_row("n3", "10.0.0.3:80");
    fixture.hear("n2");
    fixture.advance(millis{1'500});
    fixture.hear("n3");
    CHECK(fixture.named() == std::set<std::string>{"10.0.0.1", "10.0.0.3"});
}

TEST_CASE("a node that hears nobody goes on naming the others for a short while only") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.hear("n2");
    fixture.advance(millis{2'000});
    CHECK(fixture.named().size() == 2);
    fixture.advance(millis{4'000});
    CHECK(fixture.named() == std::set<std::string>{"10.0.0.1"});
}

TEST_CASE("a node that removed its row is not named any more, but its counts are still taken") {
    peers_fixture fixture;
    fixture.add_row("n2", "10.0.0.2:80");
    fixture.hear("n2");
    stored_row gone;
    gone.key = "n2";
    gone.removed = true;
    fixture.peers->on_changes({gone});
    CHECK(fixture.named() == std::set<std::string>{"10.0.0.1"});
    const usage_window window(5);
    fixture.hear("n2", {{window, {{customer_id("c"), 3}}}});
    CHECK(fixture.state->usage.total(window)[customer_id("c")] == 3);
    fixture.advance(millis{2'000});
    CHECK(fixture.peers->live_peers() == 0);
}

TEST_CASE("a node whose row another removed writes it again") {
    peers_fixture fixture;
    fixture.advance(millis{100});
    REQUIRE(fixture.store.rows(peer_exchange::table).size() == 1);
    fixture.store.remove(peer_exchange::table, "n1");
    stored_row gone;
    gone.key = "n1";
    gone.removed = true;
    fixture.peers->on_changes({gone});
    fixture.advance(millis{100});
    CHECK(fixture.store.rows(peer_exchange::table).size() == 1);
}

TEST_CASE("what a node tells in a second does not grow with the number of nodes beyond a hundred") {
    peers_fixture fixture;
    const std::uint16_t receiver_port = own_port(1);
    int received = 0;
    const auto receiver = *udp_socket::make(fixture.loop, {"127.0.0.1", receiver_port},
                                            [&received](std::string_view) { ++received; });
    fixture.add_row("receiver", "10.0.0.2:80", "127.0.0.1:" + std::to_string(receiver_port));
    const auto told_in = [&](millis time) {
        const int before = received;
        fixture.advance(time);
        run_for(fixture.loop, millis{200});
        return received - before;
    };
    constexpr millis nine_seconds{9'000};
    CHECK(told_in(nine_seconds) >= 28);
    for (int i = 0; i < 299; ++i) {
        fixture.add_row("n" + std::to_string(i + 10), "10.0.1.1:80");
    }
    const int of_many = told_in(nine_seconds);
    CHECK(of_many >= 6);
    CHECK(of_many <= 9); // 300 peers, each told as often, are no more than 100 each 0.3 s.
    CHECK(fixture.peers->silence_limit() > micros{3'600'000});
}
