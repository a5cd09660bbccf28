#include "standins/standin_engine.h"
#include "standins/standin_platform.h"
#include "support/eventually.h"
#include "support/quiet_log.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/edge/thread_timer_service.h"
#include "jujubetide/lease/order_service.h"
#include "jujubetide/platform/http_table.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

/// Short enough for a test; whatever a busy machine makes of it, the outcome is the same.
lease_options short_lease(const std::string& holder) {
    return {lease_id("orders"), holder, millis{1'500}, millis{100}, millis{400}};
}

} // namespace

TEST_CASE("control processes keep engines in their states and take over from one another") {
    const auto platform = standin_platform::make({});
    REQUIRE(platform.ok());
    standin_engine_options ignoring;
    ignoring.checks_fencing = false;
    const auto checking_engine = standin_engine::make({});
    const auto ignoring_engine = standin_engine::make(ignoring);
    REQUIRE(checking_engine.ok());
    REQUIRE(ignoring_engine.ok());
    std::vector<desired_engine_state> wanted{
        {backend_server_id("e1"), (*checking_engine)->address(), true, version_id("v1"), {}},
        {backend_server_id("e2"), (*ignoring_engine)->address(), false, version_id("v1"), {}}};
    const auto in_force = [&] {
        return (*checking_engine)->version() == version_id("v1") &&
               (*ignoring_engine)->version() == version_id("v1");
    };

    boot_clock time;
    thread_timer_service timers;
    quiet_log log;
    http_table platform_table((*platform)->address());
    http_engine_client engines(timers);
    const auto start = [&](const std::string& holder) {
        return std::make_unique<order_service>(
            platform_table, engines,
            [&wanted] { return std::vector<desired_engine_state>(wanted); }, time, timers, log,
            short_lease(holder));
    };
    auto first = start("first");
    REQUIRE(eventually([&] { return first->holds_lease(); }));
    REQUIRE(eventually(in_force));

    // An operator changes the engine that takes every order by hand.
    const engine_order stray{lease_id("orders"), fencing_number(0), version_id("v0"), {}};
    REQUIRE(engines.order((*ignoring_engine)->address(), stray).ok());
    REQUIRE(eventually(in_force));

    auto second = start("second");
    first.reset();
    CHECK(eventually([&] { return second->holds_lease(); }));
    CHECK(eventually([&] {
        const auto orders = (*checking_engine)->accepted_orders();
        return !orders.empty() && orders.back().fencing > orders.front().fencing;
    }));
}
