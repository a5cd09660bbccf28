#include "jujubetide/serving/server_health.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const backend_server_id server("s");
constexpr time_point start{micros{1'000'000}};

} // namespace

TEST_CASE("an unreachable server is paused for longer each time, until a call succeeds") {
    server_health health;
    health.on_unreachable(server, start);
    CHECK(health.is_paused(server, start + server_health::initial_pause - millis{1}));
    CHECK_FALSE(health.is_paused(server, start + server_health::initial_pause));
    for (int i = 0; i < 20; ++i) {
        health.on_unreachable(server, start);
    }
    CHECK(health.is_paused(server, start + server_health::max_pause - millis{1}));
    CHECK_FALSE(health.is_paused(server, start + server_health::max_pause));
    health.on_success(server, start);
    CHECK_FALSE(health.is_paused(server, start));
}

TEST_CASE(
    "the failure rate of a server that fails half of its answers is high, and decays over time") {
    server_health health;
    for (int i = 0; i < 10; ++i) {
        health.on_success(server, start);
        health.on_bad_answer(server, start);
    }
    CHECK(health.failure_rate(server, start) > 0.4);
    CHECK(health.failure_rate(server, start + std::chrono::seconds(20)) < 0.05);
    CHECK(health.failure_rate(backend_server_id("other"), start) == 0.0);
}
