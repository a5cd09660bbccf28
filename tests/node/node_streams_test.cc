#include "node_fixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace jujubetide;

namespace {

/// Sends the events with ids `from` to `to` and leaves the stream open.
void send_events(scripted_call& call, int from, int to) {
    begin_events(call);
    for (int id = from; id <= to; ++id) {
        call.exchange->write(event_text(id));
    }
}

std::string events_between(int from, int to) {
    std::string text;
    for (int id = from; id <= to; ++id) {
        text += event_text(id);
    }
    return text;
}

/// All bytes that a connection receives.
struct raw_bytes final : connection_events {
    void do_connected() override {}
    void do_data(std::string_view more) override { bytes += more; }
    void do_end(connection_end) override { has_ended = true; }

    std::string bytes;
    bool has_ended = false;
};

} // namespace

TEST_CASE("events are forwarded as they arrive") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "model", [](scripted_call& call) { send_events(call, 1, 1); });
    recorded_call events;
    const auto running = fixture.send("/stream/", events);
    REQUIRE(run_until(fixture.loop, [&] { return events.body == event_text(1); }));
    CHECK_FALSE(events.over());
    server.calls()[0]->exchange->write(event_text(2));
    server.calls()[0]->exchange->finish();
    REQUIRE(run_until(fixture.loop, [&] { return events.over(); }));
    CHECK(events.whole);
    CHECK(events.body == events_between(1, 2));
}

TEST_CASE("an interrupted stream that may not be resumed is aborted, not finished") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "model", [](scripted_call& call) { send_events(call, 1, 2); });
    fixture.add_server("i-2", "model", [](scripted_call& call) { send_events(call, 1, 2); });
    recorded_call events;
    const auto running = fixture.send("/stream/", events);
    REQUIRE(run_until(fixture.loop, [&] { return !events.body.empty(); }));
    for (const auto& one : fixture.servers) {
        for (const auto& call : one->calls()) {
            call->exchange->write("id: 3\nda");
            call->exchange->abort();
        }
    }
    REQUIRE(run_until(fixture.loop, [&] { return events.over(); }));
    CHECK(events.failure == call_failure::response_failed);
    CHECK(events.body == events_between(1, 2));
    CHECK(server.calls().size() + fixture.servers[1]->calls().size() == 1);
}

TEST_CASE("a resumable stream is continued at another server within the same response") {
    node_fixture fixture;
    fixture.start();
    const auto script = [](scripted_call& call) {
        const auto last = call.head.headers.find("Last-Event-Id");
        if (!last) {
            send_events(call, 1, 2);
            call.exchange->write("id: 3\nda");
            call.exchange->abort();
            return;
        }
        send_events(call, std::stoi(std::string(*last)) + 1, 5);
        call.exchange->finish();
    };
    fixture.add_server("i-1", "model", script);
    fixture.add_server("i-2", "model", script);
    const recorded_call got = fixture.call("/resumed/");
    CHECK(got.whole);
    CHECK(got.body == events_between(1, 5));
}

TEST_CASE("a stream that ends with its connection inside an event is broken off, not finished") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "model", [](scripted_call& call) {
        begin_events(call, body_framing::until_close);
        call.exchange->write(event_text(1) + "id: 2\nda");
        call.exchange->finish();
    });
    const recorded_call got = fixture.call("/stream/");
    CHECK_FALSE(got.whole);
    CHECK(got.body == event_text(1));
}

TEST_CASE("a stream that ends with its connection inside an event is resumed where it may be") {
    node_fixture fixture;
    fixture.start();
    const auto script = [](scripted_call& call) {
        const auto last = call.head.headers.find("Last-Event-Id");
        begin_events(call, body_framing::until_close);
        call.exchange->write(last ? events_between(2, 3) : event_text(1) + "id: 2\nda");
        call.exchange->finish();
    };
    fixture.add_server("i-1", "model", script);
    fixture.add_server("i-2", "model", script);
    const recorded_call got = fixture.call("/resumed/");
    CHECK(got.whole);
    CHECK(got.body == events_between(1, 3));
}

TEST_CASE("a stream that ends with its connection before any event is not an empty success") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "model", [](scripted_call& call) {
        begin_events(call, body_framing::until_close);
        call.exchange->finish();
    });
    CHECK(fixture.call("/stream/").head.status == 502);
}

TEST_CASE("a stream whose server stalls is resumed at another server") {
    node_fixture fixture;
    fixture.start({{"resumed", {{"timeoutMs", 10'000}}}});
    const auto script = [](scripted_call& call) {
        const auto last = call.head.headers.find("Last-Event-Id");
        if (!last) {
            send_events(call, 1, 2); // The stream then stalls.
            return;
        }
        send_events(call, std::stoi(std::string(*last)) + 1, 4);
        call.exchange->finish();
    };
    scripted_server& one = fixture.add_server("i-1", "model", script);
    scripted_server& other = fixture.add_server("i-2", "model", script);
    const recorded_call got = fixture.call("/resumed/");
    CHECK(got.whole);
    CHECK(got.body == events_between(1, 4));
    scripted_server& stalled = one.calls().front()->head.headers.has("Last-Event-Id") ? other : one;
    CHECK(run_until(fixture.loop, [&] { return stalled.calls()[0]->caller_gone; }));
}

TEST_CASE("an error of the server that resumes a stream does not get into the stream") {
    node_fixture fixture;
    const int status = GENERATE(204, 302, 400, 404, 409, 500, 503);
    INFO("status " << status);
    fixture.start();
    const auto script = [status](scripted_call& call) {
        if (call.head.headers.has("Last-Event-Id")) {
            answer(call, status, status == 204 ? "" : "the error's text");
        } else {
            send_events(call, 1, 2);
            call.exchange->abort();
        }
    };
    fixture.add_server("i-1", "model", script);
    fixture.add_server("i-2", "model", script);
    raw_bytes received;
    const auto connection =
        tcp_connection::connect(fixture.loop, fixture.tested->caller_endpoint(), received);
    connection->write(request_of_test("/resumed/", {}));
    REQUIRE(run_until(fixture.loop, [&] { return received.has_ended; }));
    CHECK(received.bytes.find("id: 2") != std::string::npos);
    CHECK(received.bytes.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.bytes.find("error") == std::string::npos);
    CHECK(received.bytes.find("\r\n0\r\n") == std::string::npos); // The end of a whole answer.
}

TEST_CASE("usage counts a stream once, however often it was resumed") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "model", [](scripted_call& call) {
        send_events(call, 1, 1);
        call.exchange->finish();
    });
    (void)fixture.call("/stream/");
    (void)fixture.call("/stream/");
    const auto reported = [&] {
        for (const auto& report : fixture.calls.reports) {
            const auto found = report.counts.find(customer_id("c"));
            if (found != report.counts.end() && found->second > 0) {
                return found->second;
            }
        }
        return std::uint64_t{0};
    };
    REQUIRE(run_until(fixture.loop, [&] { return reported() > 0; }));
    CHECK(reported() <= 2);
}

TEST_CASE("a stopping node completes running streams and leaves the directory at once") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "model", [](scripted_call& call) { send_events(call, 1, 1); });
    recorded_call events;
    const auto running = fixture.send("/stream/", events);
    REQUIRE(run_until(fixture.loop, [&] { return !events.body.empty(); }));
    fixture.tested->begin_stop();
    CHECK_FALSE(fixture.tested->is_ready());
    run_for(fixture.loop, millis{300});
    CHECK_FALSE(events.over());
    CHECK(fixture.store.rows("jujubetide-nodes").empty());
    server.calls()[0]->exchange->write(event_text(2));
    server.calls()[0]->exchange->finish();
    REQUIRE(run_until(fixture.loop, [&] { return events.over(); }));
    CHECK(events.whole);
    fixture.loop.run(); // Returns because the node stops the loop.
    CHECK(fixture.log.count("node_stopped") == 1);
}

TEST_CASE("a node that is destroyed aborts its running calls") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "model", [](scripted_call& call) { send_events(call, 1, 1); });
    recorded_call events;
    const auto running = fixture.send("/stream/", events);
    REQUIRE(run_until(fixture.loop, [&] { return !events.body.empty(); }));
    fixture.tested.reset();
    REQUIRE(run_until(fixture.loop, [&] { return events.over(); }));
    CHECK_FALSE(events.whole);
    CHECK(run_until(fixture.loop, [&] { return server.calls()[0]->caller_gone; }));
}

TEST_CASE("a stream is not moved away from its server while its caller does not read") {
    node_fixture fixture;
    // Callers abandon these streams after two seconds without an event.
    const nlohmann::json short_patience = {
        {"timeoutMs", 12'000}, {"targetLatencyMs", 100}, {"targetGapMs", 50}};
    fixture.start({{"resumed", short_patience}});
    constexpr int last_event = 512;
    const std::string padding(std::size_t{32} << 10U, 'x');
    std::map<scripted_call*, int> sent;
    const auto script = [&sent](scripted_call& call) {
        begin_events(call);
        const auto last = call.head.headers.find("Last-Event-Id");
        sent[&call] = last ? std::stoi(std::string(*last)) : 0;
    };
    scripted_server& one = fixture.add_server("i-1", "model", script);
    scripted_server& other = fixture.add_server("i-2", "model", script);
    const auto sending = fixture.loop.every(millis{1}, millis{1}, [&] {
        for (auto& [call, id] : sent) {
            if (id >= last_event || call->caller_gone || call->exchange->is_backed_up()) {
                continue;
            }
            call->exchange->write("id: " + std::to_string(++id) + "\ndata: " + padding + "\n\n");
            if (id == last_event) {
                call->exchange->finish();
            }
        }
    });
    recorded_call got;
    const auto running = fixture.send("/resumed/", got);
    REQUIRE(run_until(fixture.loop, [&] { return !got.body.empty(); }));
    running->pause();
    run_for(fixture.loop, millis{2'500});
    running->resume();
    run_until(fixture.loop, [&] { return got.over(); });
    CHECK(got.whole);
    CHECK(got.body.size() > last_event * padding.size());
    CHECK(one.calls().size() + other.calls().size() == 1);
}
