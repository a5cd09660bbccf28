#include "support/blocking_peer.h"
#include "support/loop_runner.h"
#include "support/manual_clock.h"
#include "support/recorded_call.h"
#include "support/scripted_server.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http1/http1_server.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace jujubetide;
using namespace jujubetide::testing;

namespace {

struct server_fixture {
    explicit server_fixture(scripted_server::script answer) : server(loop, time, answer) {}

    std::string read_available(int socket) {
        char bytes[4096];
        std::string received;
        for (ssize_t count = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT); count > 0;
             count = ::recv(socket, bytes, sizeof bytes, MSG_DONTWAIT)) {
            received.append(bytes, static_cast<std::size_t>(count));
        }
        return received;
    }
    /// Sends `bytes` and returns what the server sends until `end` is seen.
    std::string send_and_read(int socket, const std::string& bytes, const std::string& end) {
        send_all(socket, bytes);
        std::string received;
        run_until(loop, [&] {
            received += read_available(socket);
            return received.find(end) != std::string::npos;
        });
        return received;
    }

    event_loop loop;
    boot_clock time;
    scripted_server server;
};

void echo(scripted_call& call) {
    header_list headers;
    call.exchange->respond(200, headers, call.head.target + " " + call.body);
}

} // namespace

TEST_CASE("requests on one connection, also pipelined ones, are answered in order") {
    server_fixture fixture(echo);
    const int socket = connect_to(fixture.server.address());
    const std::string received = fixture.send_and_read(
        socket, "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\n\r\n", "/2 ");
    CHECK(received.find("/1 abc") < received.find("/2 "));
    ::close(socket);
}

TEST_CASE("invalid requests get an error status, reach no handler and close the connection") {
    const auto [request, status] = GENERATE(table<std::string, std::string>(
        {{"NONSENSE\r\n\r\n", "400"},
         {"GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "431"},
         {"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413"},
         {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400"}}));
    server_fixture fixture(echo);
    const int socket = connect_to(fixture.server.address());
    const std::string received = fixture.send_and_read(socket, request, "\r\n\r\n{}");
    CHECK(received.substr(0, 12) == "HTTP/1.1 " + status);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(fixture.server.calls().empty());
    ::close(socket);
}

TEST_CASE("a request that there is no memory for gets 503 and reaches no handler") {
    const std::string request = GENERATE(
        // The first is known to be too large by its head alone.
        std::string("POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n"),
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n" + std::string(60'000, 'x'));
    server_fixture fixture(echo);
    fixture.loop.buffers().set_limit(50'000);
    const int socket = connect_to(fixture.server.address());
    const std::string received = fixture.send_and_read(socket, request, "\r\n\r\n{}");
    CHECK(received.substr(0, 12) == "HTTP/1.1 503");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(fixture.server.calls().empty());
    CHECK(fixture.loop.buffers().used() == 0);
    // Others are answered.
    const int other = connect_to(fixture.server.address());
    CHECK(fixture.send_and_read(other, "GET /2 HTTP/1.1\r\n\r\n", "/2 ").find("200") !=
          std::string::npos);
    ::close(other);
    ::close(socket);
}

TEST_CASE("a connection ends after the response when there is no memory for pipelined requests") {
    server_fixture fixture([](scripted_call&) {});
    fixture.loop.buffers().set_limit(50'000);
    const int socket = connect_to(fixture.server.address());
    std::string requests;
    while (requests.size() < 60'000) {
        requests += "GET /1 HTTP/1.1\r\n\r\n";
    }
    send_all(socket, requests);
    REQUIRE(run_until(fixture.loop, [&] { return fixture.server.calls().size() == 1; }));
    run_for(fixture.loop, millis{50});
    CHECK(fixture.loop.buffers().used() < 50'000);
    echo(*fixture.server.calls()[0]);
    const std::string received = fixture.send_and_read(socket, "", "/1 ");
    CHECK(received.find("Connection: close") != std::string::npos);
    run_for(fixture.loop, millis{50});
    CHECK(fixture.server.calls().size() == 1);
    ::close(socket);
}

TEST_CASE("a request whose headers are not complete in time gets 408") {
    server_fixture fixture(echo);
    http1_limits limits;
    limits.head_timeout = millis{300};
    fixture.server.server().set_limits(limits);
    const int socket = connect_to(fixture.server.address());
    const std::string received = fixture.send_and_read(socket, "GET / HTTP/1.1\r\nX-Slow: ", "{}");
    CHECK(received.substr(0, 12) == "HTTP/1.1 408");
    ::close(socket);
}

TEST_CASE("the handler is notified at once when its caller disconnects") {
    server_fixture fixture([](scripted_call&) {});
    const int socket = connect_to(fixture.server.address());
    send_all(socket, "GET / HTTP/1.1\r\n\r\n");
    REQUIRE(run_until(fixture.loop, [&] { return fixture.server.calls().size() == 1; }));
    ::close(socket);
    CHECK(run_until(
        fixture.loop, [&] { return fixture.server.calls()[0]->caller_gone; },
        std::chrono::seconds(5)));
}

TEST_CASE("an aborted response does not look complete") {
    server_fixture fixture([](scripted_call& call) {
        call.exchange->begin(200, {}, body_framing::chunked, 0);
        call.exchange->write("part");
        call.exchange->abort();
    });
    const int socket = connect_to(fixture.server.address());
    send_all(socket, "GET / HTTP/1.1\r\n\r\n");
    std::string received;
    run_until(fixture.loop, [&] {
        char byte = 0;
        received += fixture.read_available(socket);
        return ::recv(socket, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
    });
    CHECK(received.find("part") != std::string::npos);
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
    ::close(socket);
}

TEST_CASE("a caller that still sends while its connection is closed can read its last response") {
    server_fixture fixture(echo);
    fixture.server.server().begin_closing();
    const int socket = connect_to(fixture.server.address());
    send_all(socket, "GET /last HTTP/1.1\r\n\r\n");
    REQUIRE(run_until(fixture.loop, [&] { return fixture.server.calls().size() == 1; }));
    const std::string late_bytes = "GET /late HTTP/1.1\r\n";
    for (int i = 0; i < 5; ++i) {
        run_for(fixture.loop, millis{10});
        CHECK(::send(socket, late_bytes.data(), late_bytes.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(late_bytes.size()));
    }
    CHECK(read_until(socket, "/last ").find("Connection: close") != std::string::npos);
    char byte = 0;
    CHECK(::recv(socket, &byte, 1, 0) <= 0);
    CHECK(fixture.server.calls().size() == 1);
    ::close(socket);
    CHECK(run_until(fixture.loop, [&] { return fixture.server.server().connections() == 0; }));
}

TEST_CASE("a request that arrived while the process was suspended is answered") {
    server_fixture fixture(echo);
    http1_limits limits;
    limits.idle_timeout = millis{300};
    fixture.server.server().set_limits(limits);
    const int socket = connect_to(fixture.server.address());
    REQUIRE(run_until(fixture.loop, [&] { return fixture.server.server().connections() == 1; }));
    const std::string request = "GET /waiting HTTP/1.1\r\n\r\n";
    send_all(socket, request.substr(0, request.size() / 2));
    run_for(fixture.loop, millis{20});
    send_all(socket, request.substr(request.size() / 2));
    std::this_thread::sleep_for(limits.idle_timeout * 2); // The loop doesn't run.
    CHECK(fixture.send_and_read(socket, request, "/waiting ").find("200 OK") != std::string::npos);
    std::this_thread::sleep_for(limits.idle_timeout * 2);
    CHECK(fixture.send_and_read(socket, request, "/waiting ").find("200 OK") != std::string::npos);
    ::close(socket);
}

TEST_CASE("a closing server tells callers to close and closes idle connections") {
    server_fixture fixture(echo);
    const int idle = connect_to(fixture.server.address());
    const int busy = connect_to(fixture.server.address());
    CHECK(fixture.send_and_read(busy, "GET /1 HTTP/1.1\r\n\r\n", "/1").find("close") ==
          std::string::npos);
    fixture.server.server().begin_closing();
    CHECK(fixture.send_and_read(busy, "GET /2 HTTP/1.1\r\n\r\n", "/2").find("Connection: close") !=
          std::string::npos);
    REQUIRE(run_until(fixture.loop, [&] { return fixture.server.server().connections() == 1; }));
    fixture.server.server().close_idle(std::chrono::seconds(10));
    CHECK(fixture.server.server().connections() == 1);
    run_for(fixture.loop, millis{20});
    fixture.server.server().close_idle(millis{10});
    CHECK(fixture.server.server().connections() == 0);
    ::close(idle);
    ::close(busy);
}
