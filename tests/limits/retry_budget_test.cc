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

TEST_CASE("played load: calls that all fail after a calm time stay within the bound of all nodes") {
    constexpr std::size_t nodes = 7;
    constexpr double ratio = 0.2;
    constexpr double slack = 54.0;
    constexpr int calls_per_node = 20;
    const service_id service("billing");
    int retries = 0;
    for (std::size_t node = 0; node < nodes; ++node) {
        retry_budget budget;
        budget.set_max(retry_budget::share_of(slack, nodes));
        for (int i = 0; i < 1'000; ++i) {
            budget.on_request(service, ratio * 100.0);
        }
        for (int i = 0; i < calls_per_node; ++i) {
            budget.on_request(service, ratio * 100.0);
            retries += budget.try_spend(service) ? 1 : 0;
        }
    }
    CHECK(retries <= ratio * calls_per_node * nodes + slack);
    CHECK(retries >= ratio * calls_per_node * nodes);
}
