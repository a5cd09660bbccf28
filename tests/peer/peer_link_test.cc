#include "peer/socket.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/peer/nghttp2_peer_link.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

using namespace jujubetide;
using namespace std::chrono_literals;

namespace {

const endpoint any_port{"127.0.0.1", 0};
constexpr millis long_timeout{60'000};

std::unique_ptr<nghttp2_peer_link> make_link(const std::string& name,
                                             const peer_link_options& options = {}) {
    auto made = nghttp2_peer_link::make(any_port, node_id(name), options);
    REQUIRE(made.ok());
    return *std::move(made);
}

void echo(nghttp2_peer_link& link) {
    link.set_handler(peer_message_kind::handover,
                     [](const peer_message& message) -> absl::StatusOr<std::string> {
                         return message.from.str() + ":" + message.body;
                     });
}

/// A connected socket that speaks no HTTP/2 by itself.
unique_fd raw_connection(const endpoint& to) {
    auto socket = connect_to(to);
    REQUIRE(socket.ok());
    pollfd wait{socket->get(), POLLOUT, 0};
    REQUIRE(::poll(&wait, 1, 10'000) == 1);
    return *std::move(socket);
}

/// Whether the other side closes the connection within ten seconds.
bool closed_by_peer(const unique_fd& socket) {
    pollfd wait{socket.get(), POLLIN, 0};
    std::array<char, 4096> buffer{};
    while (::poll(&wait, 1, 10'000) == 1) {
        if (::recv(socket.get(), buffer.data(), buffer.size(), 0) <= 0) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("a call is answered with the sender's name and the handler's body") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    echo(*server);
    const auto answer =
        client->call(server->listening(), peer_message_kind::handover, "hello", long_timeout);
    REQUIRE(answer.ok());
    CHECK(*answer == "client:hello");
    const auto empty =
        client->call(server->listening(), peer_message_kind::handover, "", long_timeout);
    CHECK(*empty == "client:");
}

TEST_CASE("a handler's error keeps its code and message") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    server->set_handler(peer_message_kind::handover, [](const peer_message&) {
        return absl::StatusOr<std::string>(absl::ResourceExhaustedError("full"));
    });
    const auto answer =
        client->call(server->listening(), peer_message_kind::handover, "x", long_timeout);
    CHECK(answer.status() == absl::ResourceExhaustedError("full"));
    CHECK(client->call(server->listening(), peer_message_kind::demand, "x", long_timeout)
              .status()
              .code() == absl::StatusCode::kUnimplemented);
}

TEST_CASE("one-way messages arrive in one connection and traffic is counted by kind") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    std::atomic<int> received{0};
    std::promise<void> all;
    server->set_handler(peer_message_kind::facts,
                        [&](const peer_message& message) -> absl::StatusOr<std::string> {
                            CHECK(message.body.size() == 1000);
                            if (++received == 100) {
                                all.set_value();
                            }
                            return std::string();
                        });
    for (int i = 0; i < 100; ++i) {
        REQUIRE(client->send(server->listening(), peer_message_kind::facts, std::string(1000, 'x'))
                    .ok());
    }
    REQUIRE(all.get_future().wait_for(60s) == std::future_status::ready);
    const auto sent = client->traffic();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].kind == peer_message_kind::facts);
    CHECK(sent[0].messages_sent == 100);
    CHECK(sent[0].bytes_sent >= 100'000);
    CHECK(sent[0].bytes_sent <= 110'000);
    CHECK(server->traffic()[0].bytes_received >= 100'000);
}

TEST_CASE("bodies of several megabytes arrive whole, also many at once") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    echo(*server);
    seeded_random random(7);
    std::string body(3U << 20U, '\0');
    for (char& byte : body) {
        byte = static_cast<char>(random.below(256));
    }
    std::vector<std::thread> callers;
    std::atomic<int> right{0};
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] {
            const auto answer =
                client->call(server->listening(), peer_message_kind::handover, body, long_timeout);
            right += answer.ok() && *answer == "client:" + body ? 1 : 0;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(right == 4);
}

TEST_CASE("many concurrent calls each get their own answer") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    echo(*server);
    std::vector<std::thread> callers;
    std::atomic<int> right{0};
    for (int caller = 0; caller < 16; ++caller) {
        callers.emplace_back([&, caller] {
            for (int i = 0; i < 100; ++i) {
                const std::string body = std::to_string(caller) + "/" + std::to_string(i);
                const auto answer = client->call(server->listening(), peer_message_kind::handover,
                                                 body, long_timeout);
                right += answer.ok() && *answer == "client:" + body ? 1 : 0;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(right == 1600);
}

TEST_CASE("a refused connection is unavailable, and the peer is reached once it listens") {
    endpoint address;
    {
        const auto gone = make_link("gone");
        address = gone->listening();
    }
    const auto client = make_link("client");
    CHECK(client->call(address, peer_message_kind::handover, "x", long_timeout).status().code() ==
          absl::StatusCode::kUnavailable);
    auto back = nghttp2_peer_link::make(address, node_id("back"));
    REQUIRE(back.ok());
    echo(**back);
    for (int i = 0; i < 600; ++i) {
        if (client->call(address, peer_message_kind::handover, "x", long_timeout).ok()) {
            SUCCEED();
            return;
        }
        std::this_thread::sleep_for(50ms);
    }
    FAIL("the peer was not reached again");
}

TEST_CASE("a peer that stops in the middle of a call leaves its outcome unknown") {
    auto server = make_link("server");
    const auto client = make_link("client");
    std::promise<void> arrived;
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    server->set_handler(peer_message_kind::handover,
                        [&](const peer_message&) -> absl::StatusOr<std::string> {
                            arrived.set_value();
                            released.wait();
                            return std::string("late");
                        });
    const endpoint address = server->listening();
    auto call = std::async(std::launch::async, [&] {
        return client->call(address, peer_message_kind::handover, "x", long_timeout);
    });
    arrived.get_future().wait();
    std::thread stopping([&] { server->stop(); });
    CHECK(call.get().status().code() == absl::StatusCode::kDeadlineExceeded);
    release.set_value();
    stopping.join();
}

TEST_CASE("a peer that accepts and never answers costs the caller its timeout only") {
    auto listener = listen_on(any_port);
    REQUIRE(listener.ok());
    peer_link_options options;
    options.silence_timeout = millis{300};
    const auto client = make_link("client", options);
    const endpoint silent = *local_endpoint(*listener);
    CHECK(client->call(silent, peer_message_kind::handover, "x", millis{100}).status().code() ==
          absl::StatusCode::kDeadlineExceeded);
    // The connection is given up after the silence, and the waiting call with it.
    CHECK(client->call(silent, peer_message_kind::handover, "x", long_timeout).status().code() ==
          absl::StatusCode::kDeadlineExceeded);
}

TEST_CASE("strangers' bytes end their connection and nothing else") {
    const auto server = make_link("server");
    const auto client = make_link("client");
    echo(*server);
    seeded_random random(11);
    for (int round = 0; round < 50; ++round) {
        const unique_fd stranger = raw_connection(server->listening());
        std::string bytes = round % 2 == 0 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
        for (int i = 0; i < 500; ++i) {
            bytes += static_cast<char>(random.below(256));
        }
        REQUIRE(::send(stranger.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        ::shutdown(stranger.get(), SHUT_WR);
        CHECK(closed_by_peer(stranger));
    }
    CHECK(client->call(server->listening(), peer_message_kind::handover, "x", long_timeout).ok());
}

TEST_CASE("a full queue to a peer refuses more messages") {
    auto listener = listen_on(any_port);
    REQUIRE(listener.ok());
    peer_link_options options;
    options.peer_queue = 10;
    const auto client = make_link("client", options);
    const endpoint silent = *local_endpoint(*listener);
    int taken = 0;
    for (int i = 0; i < 20; ++i) {
        taken += client->send(silent, peer_message_kind::facts, "x").ok() ? 1 : 0;
    }
    CHECK(taken == 10);
}

TEST_CASE("a body above the limit is refused") {
    peer_link_options options;
    options.max_body_bytes = 1000;
    const auto server = make_link("server", options);
    const auto client = make_link("client");
    echo(*server);
    CHECK_FALSE(client
                    ->call(server->listening(), peer_message_kind::handover,
                           std::string(100'000, 'x'), long_timeout)
                    .ok());
    CHECK(client->call(server->listening(), peer_message_kind::handover, "x", long_timeout).ok());
}
