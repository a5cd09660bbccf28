#include "support/blocking_peer.h"
#include "support/loop_runner.h"

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_connection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <unistd.h>

using namespace jujubetide;
using namespace jujubetide::testing;

namespace {

class recorded_connection final : public connection_events {
public:
    bool connected = false;
    std::string data;
    std::optional<connection_end> end;

protected:
    void do_connected() override { connected = true; }
    void do_data(std::string_view bytes) override { data += bytes; }
    void do_end(connection_end reason) override { end = reason; }
};

/// Counts the bytes received, in all and in one round of the loop.
class counted_connection final : public connection_events {
public:
    explicit counted_connection(const event_loop& loop) : loop_(loop) {}
    std::size_t bytes = 0;
    std::size_t most_in_a_round = 0;

protected:
    void do_connected() override {}
    void do_data(std::string_view data) override {
        in_this_round_ = last_round_ == loop_.rounds() ? in_this_round_ + data.size() : data.size();
        last_round_ = loop_.rounds();
        bytes += data.size();
        most_in_a_round = std::max(most_in_a_round, in_this_round_);
    }
    void do_end(connection_end) override {}

private:
    const event_loop& loop_;
    std::uint64_t last_round_ = 0;
    std::size_t in_this_round_ = 0;
};

} // namespace

TEST_CASE("an orderly close by the peer is reported after its last byte") {
    event_loop loop;
    blocking_peer peer([](int socket) {
        send_all(socket, "last words");
        ::close(socket);
    });
    recorded_connection events;
    const auto connection = tcp_connection::connect(loop, peer.address(), events);
    REQUIRE(run_until(loop, [&] { return events.end.has_value(); }));
    CHECK(events.data == "last words");
    CHECK(*events.end == connection_end::closed);
}

TEST_CASE("a reset right after the last bytes is reported as a failure") {
    // The loop reads the socket only after both the bytes and the reset have arrived.
    event_loop loop;
    std::atomic<bool> is_reset{false};
    blocking_peer peer([&is_reset](int socket) {
        send_all(socket, "half an ans");
        reset(socket);
        is_reset = true;
    });
    recorded_connection events;
    const auto connection = tcp_connection::connect(loop, peer.address(), events);
    while (!is_reset) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    REQUIRE(run_until(loop, [&] { return events.end.has_value(); }));
    CHECK(*events.end == connection_end::failed);
}

TEST_CASE("bytes that arrived before a write failed are delivered before the end") {
    event_loop loop;
    std::atomic<bool> is_connected{false};
    std::atomic<bool> is_closed{false};
    blocking_peer peer([&](int socket) {
        while (!is_connected) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        send_all(socket, "whole answer");
        reset(socket);
        is_closed = true;
    });
    recorded_connection events;
    const auto connection = tcp_connection::connect(loop, peer.address(), events);
    REQUIRE(run_until(loop, [&] { return events.connected; }));
    is_connected = true;
    while (!is_closed) { // The loop must not read the answer yet.
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    connection->write("next request");
    REQUIRE(run_until(loop, [&] { return events.end.has_value(); }));
    CHECK(events.data == "whole answer");
    CHECK(*events.end == connection_end::failed);
}

TEST_CASE("a refused connection is reported after connect has returned") {
    event_loop loop;
    const endpoint refusing_address{"127.0.0.1", 1};
    recorded_connection events;
    const auto connection = tcp_connection::connect(loop, refusing_address, events);
    CHECK_FALSE(events.end.has_value());
    REQUIRE(run_until(loop, [&] { return events.end.has_value(); }));
    CHECK(*events.end == connection_end::failed);
    CHECK_FALSE(events.connected);
}

TEST_CASE("no event follows the owner's close") {
    event_loop loop;
    std::atomic<bool> is_closed{false};
    blocking_peer peer([&is_closed](int socket) {
        while (!is_closed) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        send_all(socket, "bytes");
        ::close(socket);
    });
    recorded_connection events;
    const auto connection = tcp_connection::connect(loop, peer.address(), events);
    REQUIRE(run_until(loop, [&] { return events.connected; }));
    is_closed = true;
    connection->close();
    const std::string before = events.data;
    run_for(loop, millis{20});
    CHECK(events.data == before);
    CHECK_FALSE(events.end.has_value());
}

TEST_CASE("timers fire in order and not after their subscriptions are destroyed") {
    event_loop loop;
    std::string fired;
    const auto second = loop.once(millis{6}, [&] { fired += "b"; });
    const auto first = loop.once(millis{2}, [&] { fired += "a"; });
    auto cancelled = loop.once(millis{3}, [&] { fired += "x"; });
    cancelled.reset();
    const auto repeated = loop.every(millis{4}, millis{8}, [&] { fired += "c"; });
    REQUIRE(run_until(loop, [&] { return fired.size() >= 4; }));
    CHECK(fired.substr(0, 4) == "abcc");
}

TEST_CASE("a connection with many bytes to read does not hold up the others of its loop") {
    constexpr std::size_t total = std::size_t{8} << 20U;
    event_loop loop;
    blocking_peer peer([](int socket) {
        send_all(socket, std::string(total, 'a'));
        ::close(socket);
    });
    counted_connection events(loop);
    const auto connection = tcp_connection::connect(loop, peer.address(), events);
    REQUIRE(run_until(loop, [&] { return events.bytes > 0; }));
    // The socket's buffer fills meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    REQUIRE(run_until(loop, [&] { return events.bytes == total; }));
    CHECK(events.most_in_a_round <= loop.read_buffer().size());
}
