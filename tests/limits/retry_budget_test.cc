#include "jujubetide/limits/retry_budget.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("retries are bounded by a share of the requests") {
    retry_budget budget;
    const service_id service("diagnosis");
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_request(service, 10.0);
        retries += budget.try_spend(service) ? 1 : 0;
    }
    CHECK(retries >= 95);
    CHECK(retries <= 100 + static_cast<int>(retry_budget::initial_tokens));
}
