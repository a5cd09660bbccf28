#include "simulation/move_simulation.h"

#include <catch2/catch.hpp>

#include <string>

// Moves of simulated versions by the real controllers and selectors. bench/moves_bench runs the
// same simulation with more seeds and beside a naive ramp.

namespace jujubetide {
namespace {

constexpr std::uint64_t first_seed = 20'261'203;
constexpr std::uint64_t runs = 40;

template <class Check>
void for_each_seed(version_family family, Check&& check) {
    for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
        const move_result result = simulate_move(family, ramp_policy::evidence, seed);
        INFO("family " << name_of(family) << ", seed " << seed);
        CHECK(result.contradictions == 0);
        CHECK(result.sent_after_own_stop == 0);
        CHECK(result.last_send_after_stop <= millis(5'000));
        check(result);
    }
}

void check_taken_back(version_family family, double most_exposure) {
    for_each_seed(family, [most_exposure](const move_result& result) {
        CHECK(result.end == move_state::taken_back);
        CHECK(result.exposure <= most_exposure);
    });
}

} // namespace

TEST_CASE("simulation: good versions are done by the due time") {
    const auto done = [](const move_result& result) { CHECK(result.done_by_due); };
    for_each_seed(version_family::good, done);
    for_each_seed(version_family::good_reclaimed, done);
}

TEST_CASE("simulation: faults that show at once reach at most a hundredth of the requests") {
    check_taken_back(version_family::fails_at_once, 0.01);
    check_taken_back(version_family::slow_at_once, 0.01);
}

TEST_CASE("simulation: other faults reach at most a twentieth of the requests") {
    check_taken_back(version_family::fails_after_requests, 0.05);
    check_taken_back(version_family::slow_under_load, 0.05);
    check_taken_back(version_family::fails_on_one_route, 0.05);
    check_taken_back(version_family::leaks, 0.05);
}

TEST_CASE(
    "simulation: a weak late fault of a small service is found while the old version is busy") {
    // Its first server alone takes nearly half of the traffic and fails every eighth request later.
    constexpr std::uint64_t small_service = 921;
    const move_result result =
        simulate_move(version_family::fails_after_requests, ramp_policy::evidence, small_service);
    CHECK(result.end == move_state::taken_back);
    CHECK(result.exposure <= 0.05);
}

TEST_CASE("simulation: an operator's take-back holds through table and control outages") {
    check_taken_back(version_family::operator_takes_back, 1.0);
}

} // namespace jujubetide
