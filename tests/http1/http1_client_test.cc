#include "support/blocking_peer.h"
#include "support/endless_server.h"
#include "support/loop_runner.h"
#include "support/manual_clock.h"
#include "support/recorded_call.h"
#include "support/scripted_server.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http1/http1_client.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace jujubetide;
using namespace jujubetide::testing;

namespace {

struct client_fixture {
    /// Makes a call and waits for its end.
    void call(const endpoint& server, recorded_call& events, call_options options = {}) {
        const auto running =
            client.call(server, serialize_request("GET", "/", {}, ""), options, events);
        run_until(loop, [&] { return events.over(); });
    }
    /// Makes a call to a peer that answers with `bytes` and then calls `after_answer`.
    void call_raw(const std::string& bytes, recorded_call& events,
                  const std::function<void(int)>& after_answer) {
        blocking_peer peer([&](int socket) {
            read_until(socket, "\r\n\r\n");
            send_all(socket, bytes);
            after_answer(socket);
        });
        call(peer.address(), events);
    }

    event_loop loop;
    boot_clock time;
    http1_client client{loop, time};
};

constexpr auto close_socket = [](int socket) { ::close(socket); };

} // namespace

TEST_CASE("an idle connection is reused by the next call") {
    client_fixture fixture;
    scripted_server server(fixture.loop, fixture.time,
                           [](scripted_call& call) { call.exchange->respond(200, {}, "ok"); });
    recorded_call first;
    recorded_call second;
    fixture.call(server.address(), first);
    fixture.call(server.address(), second);
    CHECK(first.body == "ok");
    CHECK(second.body == "ok");
    CHECK(fixture.client.connections_opened() == 1);
}

TEST_CASE("a connection that was idle too long is not reused") {
    client_fixture fixture;
    scripted_server server(fixture.loop, fixture.time,
                           [](scripted_call& call) { call.exchange->respond(200, {}, "ok"); });
    recorded_call first;
    recorded_call second;
    fixture.call(server.address(), first);
    call_options without_reuse;
    without_reuse.max_idle = micros{0};
    fixture.call(server.address(), second, without_reuse);
    CHECK(second.whole);
    CHECK(fixture.client.connections_opened() == 2);
}

TEST_CASE("a copy of an earlier response cannot bear the id of a call on the same connection") {
    client_fixture fixture;
    scripted_server server(fixture.loop, fixture.time,
                           [](scripted_call& call) { call.exchange->respond(200, {}, "ok"); });
    call_options named;
    named.correlation_id = "id-1";
    call_options other;
    other.correlation_id = "id-2";
    std::array<recorded_call, 4> calls;
    fixture.call(server.address(), calls[0], named);
    fixture.call(server.address(), calls[1], other);
    CHECK(fixture.client.connections_opened() == 1);
    fixture.call(server.address(), calls[2], named);
    CHECK(fixture.client.connections_opened() == 2);
    fixture.call(server.address(), calls[3], other); // On the second one, which has not carried it.
    CHECK(fixture.client.connections_opened() == 2);
    CHECK(fixture.client.open_connections(server.address()) == 2);
}

TEST_CASE("what a server sent before a call is no part of its response") {
    const bool closes = GENERATE(false, true);
    client_fixture fixture;
    std::atomic<bool> may_send{false};
    std::atomic<bool> has_sent{false};
    std::atomic<bool> may_end{false};
    const auto wait_for = [](const std::atomic<bool>& flag) {
        while (!flag) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    };
    blocking_peer peer([&](int socket) {
        read_until(socket, "\r\n\r\n");
        send_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        wait_for(may_send);
        if (closes) {
            ::shutdown(socket, SHUT_RDWR);
        } else {
            send_all(socket, "HTTP/1.1 421 Misdirected");
        }
        has_sent = true;
        wait_for(may_end);
    });
    recorded_call first;
    fixture.call(peer.address(), first);
    CHECK(first.whole);
    may_send = true;
    wait_for(has_sent);
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // Not read: the loop stands still.
    recorded_call second;
    const auto running = fixture.client.call(peer.address(), serialize_request("GET", "/", {}, ""),
                                             call_options(), second);
    CHECK(fixture.client.connections_opened() == 2);
    may_end = true;
}

TEST_CASE("a connection does not remember the ids of its calls without bound") {
    client_fixture fixture;
    scripted_server server(fixture.loop, fixture.time,
                           [](scripted_call& call) { call.exchange->respond(200, {}, "ok"); });
    for (int i = 0; i <= 1'000; ++i) {
        recorded_call events;
        call_options options;
        options.correlation_id = std::to_string(i);
        fixture.call(server.address(), events, options);
        REQUIRE(events.whole);
    }
    CHECK(fixture.client.connections_opened() == 2);
}

TEST_CASE("a response is complete only with its last byte") {
    const auto [bytes, complete] = GENERATE(table<std::string, bool>(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", true},
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfour", false},
         {"HTTP/1.1 200 OK\r\n\r\nuntil the end", true},
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", false},
         {"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n", false},
         {"\x01\x02garbage", false},
         {"", false}}));
    client_fixture fixture;
    recorded_call events;
    fixture.call_raw(bytes, events, close_socket);
    CHECK(events.whole == complete);
    CHECK(events.failure.has_value() != complete);
}

TEST_CASE("a response without a length fails when the connection is reset") {
    client_fixture fixture;
    recorded_call events;
    fixture.call_raw("HTTP/1.1 200 OK\r\n\r\nuntil the", events, [](int socket) { reset(socket); });
    CHECK(events.failure == call_failure::response_failed);
}

TEST_CASE("a response to another call is skipped") {
    client_fixture fixture;
    recorded_call events;
    events.to_skip = 1;
    fixture.call_raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
                     events, close_socket);
    CHECK(events.whole);
    CHECK(events.body == "mine");
}

TEST_CASE("bytes after a complete response close the connection") {
    client_fixture fixture;
    std::atomic<bool> may_close{false};
    blocking_peer peer([&](int socket) {
        read_until(socket, "\r\n\r\n");
        send_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
        while (!may_close) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        ::close(socket);
    });
    recorded_call events;
    fixture.call(peer.address(), events);
    CHECK(events.whole);
    CHECK(fixture.client.open_connections(peer.address()) == 0);
    may_close = true;
}

TEST_CASE("a response that consists mostly of chunk framing fails early") {
    constexpr std::size_t max_sent_bytes = std::size_t{32} << 20U;
    std::string chunks;
    while (chunks.size() < 32'768) {
        chunks += "1\r\na\r\n";
    }
    std::size_t sent_bytes = 0;
    {
        client_fixture fixture;
        recorded_call events;
        fixture.call_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", events,
                         [&](int socket) {
                             ssize_t sent = 1;
                             while (sent > 0 && sent_bytes < max_sent_bytes) {
                                 sent = ::send(socket, chunks.data(), chunks.size(), MSG_NOSIGNAL);
                                 sent_bytes += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
                             }
                             ::close(socket);
                         });
        CHECK(events.failure == call_failure::response_failed);
        CHECK(events.body.size() < max_sent_bytes / 12);
    }
    CHECK(sent_bytes < max_sent_bytes);
}

TEST_CASE("a call that cannot connect fails as not connected") {
    client_fixture fixture;
    recorded_call events;
    fixture.call({"127.0.0.1", 1}, events);
    CHECK(events.failure == call_failure::not_connected);
}

TEST_CASE("a call that exceeds its timeout fails, and a cancelled one closes its connection") {
    client_fixture fixture;
    scripted_server server(fixture.loop, fixture.time, [](scripted_call&) {});
    recorded_call events;
    call_options options;
    options.timeout = millis{50};
    fixture.call(server.address(), events, options);
    CHECK(events.failure == call_failure::timed_out);

    recorded_call cancelled;
    auto running =
        fixture.client.call(server.address(), serialize_request("GET", "/", {}, ""), {}, cancelled);
    REQUIRE(run_until(fixture.loop, [&] { return server.calls().size() == 2; }));
    running.reset();
    CHECK(run_until(fixture.loop, [&] { return server.calls()[1]->caller_gone; }));
    CHECK_FALSE(cancelled.over());
}

TEST_CASE("a request is not sent if the process was suspended until after its time to connect") {
    event_loop loop;
    manual_clock time;
    http1_client client(loop, time);
    scripted_server server(loop, time,
                           [](scripted_call& call) { call.exchange->respond(200, {}, "ok"); });
    recorded_call events;
    call_options options;
    options.connect_timeout = millis{1'000};
    options.timeout = millis{1'000};
    const auto running =
        client.call(server.address(), serialize_request("POST", "/", {}, "body"), options, events);
    time.advance(millis{5'000}); // The timers of the loop do not see the suspension.
    CHECK(run_until(loop, [&] { return events.over(); }));
    CHECK(events.failure == call_failure::not_connected);
    run_for(loop, millis{50});
    CHECK(server.calls().empty());
}

namespace {

/// How a buffered call to a server that answers with `first`, then with `repeated` without end,
/// fails; `timed_out` is the call's own time limit.
call_failure failure_of_buffered_call(client_fixture& fixture, const std::string& first,
                                      const std::string& repeated) {
    endless_server server(fixture.loop, first, repeated);
    call_options options;
    options.timeout = millis{10'000};
    std::optional<call_failure> result;
    const auto call = buffered_call::start(
        fixture.client, server.address(), serialize_request("GET", "/", {}, ""), options,
        [&](const http1_response* response, call_failure failure) {
            CHECK(response == nullptr);
            result = failure;
        });
    REQUIRE(run_until(fixture.loop, [&] { return result.has_value(); }));
    CHECK(run_until(fixture.loop,
                    [&] { return server.all_closed() && fixture.loop.buffers().used() == 0; }));
    return *result;
}

} // namespace

TEST_CASE("a buffered response without end does not last until its time limit") {
    client_fixture fixture;
    CHECK(failure_of_buffered_call(fixture, "HTTP/1.1 200 OK\r\n\r\n", "a") ==
          call_failure::response_too_large);
}

TEST_CASE("a buffered response whose length is too large fails before its body is read") {
    client_fixture fixture;
    CHECK(failure_of_buffered_call(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 99000000\r\n\r\n",
                                   "") == call_failure::response_too_large);
}

TEST_CASE("a buffered response is limited by what all connections buffer together") {
    client_fixture fixture;
    fixture.loop.buffers().set_limit(1'000'000);
    CHECK(failure_of_buffered_call(fixture, "HTTP/1.1 200 OK\r\n\r\n", "a") ==
          call_failure::response_too_large);
}

TEST_CASE("a head is limited by what all connections buffer together") {
    client_fixture fixture;
    fixture.loop.buffers().set_limit(50'000);
    // The head's end never comes.
    endless_server server(fixture.loop, "HTTP/1.1 200 OK\r\nX-Long: " + std::string(60'000, 'a'),
                          "");
    recorded_call events;
    call_options options;
    options.timeout = millis{10'000};
    fixture.call(server.address(), events, options);
    CHECK(events.failure == call_failure::response_failed);
}
