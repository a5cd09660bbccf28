#include "jujubetide/serving/demand_meter.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("half a second of work per second keeps half a server busy, and decays afterwards") {
    demand_meter meter;
    const service_id service("s");
    time_point now{micros{1'000'000}};
    for (int i = 0; i < 200; ++i) {
        now += millis{100};
        meter.add(service, 0.05, now);
    }
    CHECK(meter.busy_servers(now).at(service) == Approx(0.5).epsilon(0.05));
    CHECK(meter.busy_servers(now + std::chrono::seconds(20)).at(service) < 0.01);
}
