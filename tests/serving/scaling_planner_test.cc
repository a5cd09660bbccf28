#include "jujubetide/serving/scaling_planner.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace jujubetide;

namespace {

scaling_limits limits_with(std::optional<double> reclaimable_price) {
    scaling_limits limits;
    limits.min = 1;
    limits.max = 6;
    limits.boot_time = millis{4'000};
    limits.reclaimable_price = reclaimable_price;
    limits.prices = {{failure_domain_id("a"), 1.0},
                     {failure_domain_id("b"), 0.8},
                     {failure_domain_id("c"), 1.25},
                     {failure_domain_id("d"), 0.9}};
    return limits;
}

unsigned total(const server_counts& numbers) {
    unsigned sum = 0;
    for (const auto& [group, count] : numbers) {
        sum += count;
    }
    return sum;
}

unsigned reliable_of(const server_counts& numbers) {
    unsigned sum = 0;
    for (const auto& [group, count] : numbers) {
        sum += group.reclaimable ? 0 : count;
    }
    return sum;
}

constexpr time_point start{micros{1'000'000}};

} // namespace

TEST_CASE("orders stay within the limits of each failure domain") {
    const auto price = GENERATE(std::optional<double>(), std::optional<double>(0.2));
    const double busy = GENERATE(0.0, 0.5, 3.0, 8.0, 100.0);
    const scaling_limits limits = limits_with(price);
    scaling_planner planner;
    const server_counts plan = planner.plan(limits, busy, {}, start);
    for (const auto& [domain, unused] : limits.prices) {
        unsigned here = 0;
        for (const bool reclaimable : {false, true}) {
            const auto found = plan.find({domain, reclaimable});
            here += found == plan.end() ? 0 : found->second;
        }
        CHECK(here >= limits.min);
        CHECK(here <= limits.max);
    }
}

TEST_CASE("enough servers remain after the loss of one failure domain's reclaimable servers") {
    const scaling_limits limits = limits_with(0.2);
    scaling_planner planner;
    const double busy = 3.0;
    const server_counts plan = planner.plan(limits, busy, {}, start);
    for (const auto& [domain, unused] : limits.prices) {
        CHECK(total(plan) - plan.at({domain, true}) >= static_cast<unsigned>(std::ceil(busy)));
    }
}

TEST_CASE("ordered servers that never start are replaced by reliable ones") {
    const scaling_limits limits = limits_with(0.2);
    scaling_planner planner;
    server_counts settled;
    int second = 0;
    for (; second < 30; ++second) {
        settled = planner.plan(limits, 3.0, settled, start + std::chrono::seconds(second));
    }
    server_counts present = settled;
    for (auto& [group, count] : present) {
        count = group.reclaimable ? 0 : count;
    }
    for (; second < 40; ++second) {
        (void)planner.plan(limits, 3.0, present, start + std::chrono::seconds(second));
    }
    const server_counts later =
        planner.plan(limits, 3.0, present, start + std::chrono::seconds(second));
    CHECK(reliable_of(later) >= reliable_of(settled) + 3);
}

TEST_CASE("a new holder of the duties relies on the reclaimable servers that are present") {
    const scaling_limits limits = limits_with(0.2);
    scaling_planner before;
    server_counts settled;
    for (int second = 0; second < 30; ++second) {
        settled = before.plan(limits, 3.0, settled, start + std::chrono::seconds(second));
    }
    scaling_planner after;
    const server_counts plan = after.plan(limits, 3.0, settled, start + std::chrono::seconds(30));
    CHECK(reliable_of(plan) <= reliable_of(settled) + 1);
}

TEST_CASE("no server is released before the demand has been measured") {
    const scaling_limits limits = limits_with(0.2);
    scaling_planner planner;
    server_counts present;
    for (const auto& [domain, unused] : limits.prices) {
        present[{domain, false}] = 4;
    }
    for (int second = 0; second < 20; ++second) {
        const double busy = second < 15 ? 0.0 : 2.0;
        const server_counts plan =
            planner.plan(limits, busy, present, start + std::chrono::seconds(second));
        for (const auto& [domain, unused] : limits.prices) {
            CHECK(plan.at({domain, false}) >= 4);
        }
    }
}

TEST_CASE("lost reclaimable servers are replaced at once, even right after an order") {
    const scaling_limits limits = limits_with(0.2);
    scaling_planner planner;
    const server_counts first = planner.plan(limits, 4.0, {}, start);
    (void)planner.plan(limits, 4.0, first, start + std::chrono::seconds(1));
    server_counts present = first;
    for (auto& [group, count] : present) {
        count = group.reclaimable ? 0 : count;
    }
    const server_counts later = planner.plan(limits, 4.0, present, start + std::chrono::seconds(2));
    unsigned reliable = 0;
    for (const auto& [group, count] : later) {
        reliable += group.reclaimable ? 0 : count;
    }
    CHECK(reliable >= 8);
}

TEST_CASE("a short dip in demand does not remove servers at once") {
    const scaling_limits limits = limits_with(std::nullopt);
    scaling_planner planner;
    const unsigned before = total(planner.plan(limits, 4.0, {}, start));
    const unsigned after = total(planner.plan(limits, 1.0, {}, start + std::chrono::seconds(2)));
    CHECK(after + 1 >= before);
}
