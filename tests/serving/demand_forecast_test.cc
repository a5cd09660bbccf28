#include "jujubetide/serving/demand_forecast.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

constexpr micros boot_time{4'000'000};

time_point at(int second) {
    return time_point(std::chrono::seconds(100 + second));
}

} // namespace

TEST_CASE("the forecast allows for a rise as large as one that was observed") {
    demand_forecast forecast;
    (void)forecast.update({2.0}, boot_time, at(0));
    for (int second = 1; second < 4; ++second) {
        (void)forecast.update({2.0 + 0.2 * second}, boot_time, at(second));
    }
    constexpr double rise = 2.8 / 2.0;
    CHECK(forecast.update({2.8}, boot_time, at(4)).busy >= 2.8 * rise);
}

TEST_CASE("the forecast of a load that does not rise comes close to it") {
    demand_forecast forecast;
    service_load later;
    for (int second = 0; second < 300; ++second) {
        later = forecast.update({2.0, 1.0, 0.5}, boot_time, at(second));
    }
    CHECK(later.busy >= 2.0);
    CHECK(later.busy <= 2.0 * 1.15);
    CHECK(later.occupied >= 1.0);
    CHECK(later.occupied <= 1.15);
    CHECK(later.memory >= 0.5);
}

TEST_CASE("the forecast keeps a peak that has just passed and forgets one that is long past") {
    demand_forecast forecast;
    (void)forecast.update({4.0}, boot_time, at(0));
    CHECK(forecast.update({1.0}, boot_time, at(2)).busy >= 4.0);
    CHECK(forecast.update({1.0}, boot_time, at(120)).busy <= 1.6);
}

TEST_CASE("the first calls of a service are not taken for a rise") {
    demand_forecast forecast;
    for (int second = 0; second <= 8; ++second) {
        (void)forecast.update({second < 4 ? 0.0 : 3.0}, boot_time, at(second));
    }
    CHECK(forecast.update({3.0}, boot_time, at(20)).busy <= 3.0 * 1.25);
}
