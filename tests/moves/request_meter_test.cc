#include "jujubetide/moves/request_meter.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

constexpr micros second{1'000'000};

} // namespace

TEST_CASE("the rate of a service is that of its last minute") {
    const service_id service("diagnosis");
    request_meter meter;
    time_point now{micros{5'000'000'000}};
    CHECK(meter.rate(service, now) == 0.0);
    for (int i = 0; i < 200; ++i, now += second) {
        for (int j = 0; j < 7; ++j) {
            meter.count(service, now);
        }
        if (i > 5) {
            CHECK(meter.rate(service, now + second) == Approx(7.0).epsilon(0.1));
        }
    }
    CHECK(meter.rate(service_id("other"), now) == 0.0);
    CHECK(meter.rate(service, now + 120 * second) == 0.0);
}

} // namespace jujubetide
