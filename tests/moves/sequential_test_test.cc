#include "jujubetide/base/random_source.h"
#include "jujubetide/moves/sequential_test.h"

#include <catch2/catch.hpp>

#include <cmath>

namespace jujubetide {
namespace {

std::uint64_t draw_hits(random_source& random, std::uint64_t total, double rate) {
    std::uint64_t hits = 0;
    for (std::uint64_t i = 0; i < total; ++i) {
        hits += random.uniform() < rate ? 1 : 0;
    }
    return hits;
}

/// The window in which the evidence reaches `threshold`, or `windows`.
int windows_until(double threshold, double baseline_rate, double trial_rate, std::uint64_t seed) {
    constexpr int windows = 300;
    seeded_random random(seed);
    sequential_test test(2 * windows);
    for (int i = 0; i < windows; ++i) {
        const double load = 1.0 + 2.0 * random.uniform();
        test.add({20, draw_hits(random, 20, load * trial_rate), 200,
                  draw_hits(random, 200, load * baseline_rate)});
        if (test.peak_log_evidence() >= threshold) {
            return i;
        }
    }
    return windows;
}

} // namespace

TEST_CASE("the e-value of a window has expectation one when the versions are alike") {
    // All draws of 2 hits among 3 trial and 4 baseline requests: C(7,2) = 21.
    const double expectation = 3.0 / 21.0 * window_e_value({3, 2, 4, 0}, 5.0) +
                               12.0 / 21.0 * window_e_value({3, 1, 4, 1}, 5.0) +
                               6.0 / 21.0 * window_e_value({3, 0, 4, 2}, 5.0);
    CHECK(expectation == Approx(1.0));
    CHECK(window_e_value({3, 2, 0, 0}, 5.0) == 1.0);
    CHECK(window_e_value({5'000, 2'500, 5'000, 2'500}, 2.0) < 1.0);
}

TEST_CASE("repeated looks at a like version keep the false-alarm rate") {
    constexpr double rate = 0.02;
    constexpr int runs = 2'000;
    int alarms = 0;
    for (int seed = 0; seed < runs; ++seed) {
        alarms += windows_until(std::log(1.0 / rate), 0.02, 0.02, seed) < 300 ? 1 : 0;
    }
    CHECK(alarms <= runs * rate);
}

TEST_CASE("a failing version is found within few windows and one burst is not enough") {
    const alarm_budget budget{0.005, 2, 14};
    for (int seed = 0; seed < 50; ++seed) {
        CHECK(windows_until(budget.steering_threshold(), 0.005, 0.5, seed) <= 8);
    }
    sequential_test burst(600);
    burst.add({10, 10, 500, 1});
    CHECK(burst.peak_log_evidence() < budget.node_threshold());
}

TEST_CASE("a fault that begins late is found as a fault of that time") {
    const alarm_budget budget{0.005, 2, 14};
    sequential_test test(600);
    for (int i = 0; i < 250; ++i) {
        test.add({20, 0, 200, 1});
    }
    CHECK(test.peak_log_evidence() < 0.0);
    for (int i = 0; i < 8; ++i) {
        test.add({20, 10, 200, 1});
    }
    CHECK(test.peak_log_evidence() >= budget.steering_threshold());
}

} // namespace jujubetide
