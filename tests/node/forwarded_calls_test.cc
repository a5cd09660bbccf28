// A node that is cut off from the servers and sends its calls through a peer; the test is the peer.
#include "cluster_member.h"
#include "node/forward_message.h"
#include "node/peer_heartbeat.h"

#include "jujubetide/net/udp_socket.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

/// A peer that says that it reaches the servers, and answers forwarded attempts as scripted.
struct scripted_peer {
    scripted_peer(event_loop& loop, const boot_clock& time, fake_row_store& store, std::string name,
                  scripted_server::script script)
        : server(loop, time, std::move(script)) {
        beat.node = node_id(name);
        beat.start = incarnation(1);
        beat.is_ready = true;
        const std::string address = server.address().str();
        store.put(
            "jujubetide-nodes", name,
            nlohmann::json{
                {"start", 1}, {"callers", address}, {"peers", address}, {"failure_domain", "z"}}
                .dump());
        socket = *udp_socket::make(loop, {"127.0.0.1", 0}, [](std::string_view) {});
        timer = loop.every(millis{50}, millis{50}, [this] {
            socket->send({"127.0.0.1", own_port(0)}, encode(beat));
        });
    }

    scripted_server server;
    peer_heartbeat beat;
    std::unique_ptr<udp_socket> socket;
    std::unique_ptr<timer_subscription> timer;
};

struct cut_node_fixture {
    explicit cut_node_fixture(const scripted_server::script& script) {
        store.put("op", "config", config_of_test(1, nlohmann::json::object()));
        // Nothing listens there.
        for (const int number : {8, 9}) {
            const std::string id = "i-" + std::to_string(number);
            const endpoint address{"127.0.0.1", own_port(number)};
            store.put("servers", id, registration_of_test("plain", address));
            store.put("servers", id + "-model", registration_of_test("model", address));
        }
        for (const char* name : {"p1", "p2"}) {
            peers.push_back(std::make_unique<scripted_peer>(loop, time, store, name, script));
        }
        REQUIRE(run_until(loop, [this] {
            return member.log.count("server_seen") == 4 && member.log.count("peer_found") == 2;
        }));
        const recorded_call first = call("/often/");
        REQUIRE(run_until(loop, [this] { return member.log.count("server_links_lost") == 1; }));
        received_before = received();
    }
    recorded_call call(const std::string& path) {
        recorded_call events;
        const auto running =
            client.call(member.instance->caller_endpoint(), request_of_test(path, {}), {}, events);
        run_until(loop, [&] { return events.over(); });
        return events;
    }
    [[nodiscard]] std::size_t received() const {
        std::size_t sum = 0;
        for (const auto& peer : peers) {
            sum += peer->server.calls().size();
        }
        return sum;
    }
    /// Attempts that the peers got since the links were lost.
    [[nodiscard]] std::size_t forwarded() const { return received() - received_before; }

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    cluster_member member{loop, time, store, 0};
    http1_client client{loop, time};
    std::vector<std::unique_ptr<scripted_peer>> peers;
    std::size_t received_before = 0;
};

void respond(scripted_call& call, int status, std::optional<forward_result> result) {
    header_list headers;
    if (result) {
        add_result(headers, *result);
    }
    headers.add("X-Attempt-Id", "id-1");
    headers.add("X-Upstream-Signature", "signed");
    call.exchange->respond(status, headers, "ok");
}

} // namespace

TEST_CASE("a call that may run once is not sent again after a peer may have sent it") {
    const auto [name, script] = GENERATE(table<std::string, scripted_server::script>(
        {{"broken", [](scripted_call& call) { respond(call, 502, forward_result::broken); }},
         {"no response", [](scripted_call& call) { call.exchange->abort(); }},
         {"cut in the body", [](scripted_call& call) {
              header_list headers;
              add_result(headers, forward_result::answered);
              headers.add("X-Attempt-Id", "id-1");
              headers.add("X-Upstream-Signature", "signed");
              call.exchange->begin(200, headers, body_framing::chunked, 0);
              call.exchange->write("o");
              call.exchange->abort();
          }}}));
    INFO(name);
    cut_node_fixture fixture(script);
    const recorded_call got = fixture.call("/once/");
    CHECK(got.head.status == 502);
    CHECK(fixture.forwarded() == 1);
}

TEST_CASE("a call that may run twice is sent through another attempt after a peer broke off") {
    cut_node_fixture fixture(
        [](scripted_call& call) { respond(call, 502, forward_result::broken); });
    const recorded_call got = fixture.call("/often/");
    CHECK(got.head.status == 502);
    CHECK(fixture.forwarded() == 2);
}

TEST_CASE("a call that no peer could send is refused as not run") {
    const auto [name, script] = GENERATE(table<std::string, scripted_server::script>(
        {{"not sent", [](scripted_call& call) { respond(call, 502, forward_result::not_sent); }},
         {"a peer of an earlier release",
          [](scripted_call& call) { respond(call, 404, std::nullopt); }}}));
    INFO(name);
    cut_node_fixture fixture(script);
    for (const char* path : {"/once/", "/often/", "/stream/", "/resumed/"}) {
        const recorded_call got = fixture.call(path);
        CHECK(got.head.status == 503);
        CHECK(got.head.headers.has("Retry-After"));
    }
    CHECK(fixture.forwarded() > 0);
}

TEST_CASE("calls are refused at once while neither the node nor a peer reaches the servers") {
    cut_node_fixture fixture(
        [](scripted_call& call) { respond(call, 200, forward_result::answered); });
    for (const auto& peer : fixture.peers) {
        peer->beat.reaches_servers = false;
    }
    run_for(fixture.loop, millis{300});
    const time_point before = fixture.time.now();
    const recorded_call got = fixture.call("/once/");
    CHECK(got.head.status == 503);
    CHECK(got.head.headers.has("Retry-After"));
    CHECK(fixture.time.now() - before < millis{200});
    CHECK(fixture.forwarded() == 0);
}

TEST_CASE("the directory names nodes that reach the servers") {
    cut_node_fixture fixture(
        [](scripted_call& call) { respond(call, 200, forward_result::answered); });
    const endpoint own = fixture.member.instance->caller_endpoint();
    const auto named = [&] {
        return fixture.member.instance->caller_addresses(failure_domain_id("z"), 10);
    };
    const std::vector<endpoint> others = named();
    CHECK(others.size() == 2);
    CHECK(std::count(others.begin(), others.end(), own) == 0);
    fixture.peers[0]->beat.reaches_servers = false;
    run_for(fixture.loop, millis{300});
    CHECK(named().size() == 1);
    fixture.peers[1]->beat.reaches_servers = false;
    run_for(fixture.loop, millis{300});
    CHECK(named().size() == 3);
}

TEST_CASE("callers do not see how a call reached its server") {
    cut_node_fixture fixture(
        [](scripted_call& call) { respond(call, 200, forward_result::answered); });
    const recorded_call got = fixture.call("/once/");
    CHECK(got.head.status == 200);
    CHECK_FALSE(read_result(got.head.headers));
}
