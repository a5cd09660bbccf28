#include "jujubetide/limits/answer_time.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const service_id chat("chat");
constexpr micros interval{40'000};
constexpr time_point now{micros{1}};

} // namespace

TEST_CASE("an answer's time is its pieces at the interval seen, at most as many as asked for") {
    answer_time times;
    CHECK(times.expected(chat, 20, now) == micros{0});
    times.on_attempt(chat, 10, 9 * interval, now);
    CHECK(times.expected(chat, 20, now) == 19 * interval);
    times.on_whole(chat, 10);
    CHECK(times.expected(chat, 20, now) == 9 * interval);
    CHECK(times.expected(chat, 5, now) == 4 * interval);
    CHECK(times.expected(service_id("other"), 20, now) == micros{0});
}

TEST_CASE("slower attempts count though none of them ends whole") {
    answer_time times;
    times.on_attempt(chat, 10, 9 * interval, now);
    constexpr int enough_attempts = 60;
    for (int i = 0; i < enough_attempts; ++i) {
        times.on_attempt(chat, 3, 2 * 4 * interval, now);
    }
    CHECK(times.expected(chat, 11, now) > 10 * 3 * interval);
    // One piece alone tells of no interval.
    times.on_attempt(chat, 1, micros{0}, now);
    CHECK(times.expected(chat, 11, now) > 10 * 3 * interval);
}

TEST_CASE("a service whose requests are all refused as too slow is tried again") {
    answer_time times;
    times.on_attempt(chat, 10, 9 * interval, now);
    CHECK(times.expected(chat, 10, now + answer_time::memory) == 9 * interval);
    CHECK(times.expected(chat, 10, now + answer_time::memory + micros{1}) == micros{0});
    times.on_attempt(chat, 10, 9 * interval, now + 2 * answer_time::memory);
    CHECK(times.expected(chat, 10, now + 2 * answer_time::memory) == 9 * interval);
}
