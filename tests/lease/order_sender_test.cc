#include "lease/fake_engine.h"
#include "standins/standin_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/lease/order_sender.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

constexpr millis duration{15'000};
constexpr millis longest_order{5'000};
constexpr millis period{5'000};

/// An old and a new holder, each with its own wish for one engine.
struct two_senders {
    explicit two_senders(bool checks_fencing) : checks(checks_fencing), engine(checks_fencing) {}

    bool checks;
    manual_clock time;
    quiet_log log;
    standin_table rows;
    fake_engine engine;
    lease_keeper old_lease{rows, time, log, options_for("old")};
    lease_keeper new_lease{rows, time, log, options_for("new")};
    order_sender old_sender{old_lease, engine, log};
    order_sender new_sender{new_lease, engine, log};

    static lease_options options_for(const std::string& holder) {
        return {lease_id("orders"), holder, duration, millis{1'000}, longest_order};
    }
    order_result order(order_sender& sender, const std::string& version) const {
        return sender
            .bring_about({{backend_server_id("e1"), endpoint{"127.0.0.1", 1}, checks,
                           version_id(version), engine_role::mixed}})
            .front();
    }
    /// The old holder hangs until the new one holds the lease and has ordered.
    void freeze_and_replace() {
        new_lease.step().IgnoreError();
        time.advance(duration);
        new_lease.step().IgnoreError();
        time.advance(longest_order);
        new_lease.step().IgnoreError();
        CHECK(order(new_sender, "v2").outcome == order_outcome::in_force);
    }
};

} // namespace

TEST_CASE("an order states its result as read back") {
    two_senders senders(true);
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::withheld);
    REQUIRE(senders.old_lease.step().ok());
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::in_force);
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::in_force);
    CHECK(senders.engine.applied.size() == 1);
    senders.engine.applied.clear();
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::pending);
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::in_force);
}

TEST_CASE("a checking engine refuses the order of a holder frozen between check and order") {
    two_senders senders(true);
    REQUIRE(senders.old_lease.step().ok());
    senders.engine.on_the_way = [&senders](const engine_order&) { senders.freeze_and_replace(); };
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::withheld);
    CHECK_FALSE(senders.old_lease.held());
    REQUIRE(senders.engine.applied.size() == 1);
    CHECK(senders.engine.version() == version_id("v2"));
}

TEST_CASE("at an engine that does not check, a late order lasts no longer than a period") {
    two_senders senders(false);
    REQUIRE(senders.old_lease.step().ok());
    senders.engine.on_the_way = [&senders](const engine_order&) { senders.freeze_and_replace(); };
    (void)senders.order(senders.old_sender, "v1");
    CHECK(senders.engine.version() == version_id("v1"));
    CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::withheld);

    senders.time.advance(period);
    REQUIRE(senders.new_lease.step().ok());
    CHECK(senders.order(senders.new_sender, "v2").outcome == order_outcome::in_force);
    CHECK(senders.engine.version() == version_id("v2"));
}

TEST_CASE("no order leaves after the safe end of the lease, whatever the holder believes") {
    for (const bool checks : {true, false}) {
        two_senders senders(checks);
        REQUIRE(senders.old_lease.step().ok());
        senders.freeze_and_replace();
        const std::size_t before = senders.engine.applied.size();
        CHECK(senders.order(senders.old_sender, "v1").outcome == order_outcome::withheld);
        CHECK(senders.engine.applied.size() == before);
    }
}
