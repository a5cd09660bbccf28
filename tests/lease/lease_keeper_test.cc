#include "lease/fake_engine.h"
#include "standins/standin_table.h"
#include "support/faulty_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/lease/lease_keeper.h"
#include "jujubetide/lease/order_sender.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

constexpr millis duration{15'000};
constexpr millis margin{1'000};
constexpr millis longest_order{5'000};
constexpr millis step_period{5'000};

lease_options options_for(const std::string& holder) {
    return {lease_id("orders"), holder, duration, margin, longest_order};
}

/// The plain way: the row holds the holder and the time of its renewal, and the holder believes
/// what its last write told it.
class naive_keeper {
public:
    naive_keeper(table& platform_table, const jujubetide::clock& time, log_sink& /*log*/,
                 const lease_options& options)
        : table_(platform_table), clock_(time), holder_(options.holder) {}

    absl::Status step() {
        const auto row = table_.get("/leases/orders");
        if (!row.ok()) {
            return row.status();
        }
        if (*row && lasts((*row)->value)) {
            held_ = false;
            return absl::OkStatus();
        }
        const row_version version = *row ? (*row)->version : row_version();
        const auto written =
            table_.commit({{{"/leases/orders", version}}, {{"/leases/orders", row_text()}}});
        held_ = written.ok();
        return written.status();
    }
    [[nodiscard]] absl::StatusOr<fencing_number>
    permit_order(bool /*server_checks_fencing*/) const {
        if (!held_) {
            return absl::FailedPreconditionError("not held");
        }
        return fencing_number(1);
    }

private:
    [[nodiscard]] std::string row_text() const {
        return holder_ + std::to_string(clock_.now().time_since_epoch().count());
    }
    /// Whether the row shows that another holder's lease lasts.
    [[nodiscard]] bool lasts(const std::string& row) const {
        const time_point renewed{micros(std::stoll(row.substr(holder_.size())))};
        return !row.starts_with(holder_) && clock_.now() < renewed + duration;
    }

    table& table_;
    const jujubetide::clock& clock_;
    std::string holder_;
    bool held_ = false;
};

/// Two processes with a keeper each, over one table and one clock.
template <class Keeper>
struct two_holders {
    manual_clock time;
    quiet_log log;
    standin_table rows;
    faulty_table table_of_a{rows};
    faulty_table table_of_b{rows};
    Keeper a{table_of_a, time, log, options_for("a")};
    Keeper b{table_of_b, time, log, options_for("b")};

    /// Lets the time go by while `keepers` renew or try to take the lease.
    void run(millis length, std::initializer_list<Keeper*> keepers) {
        for (millis gone{0}; gone < length; gone += step_period) {
            for (Keeper* keeper : keepers) {
                keeper->step().IgnoreError();
            }
            time.advance(step_period);
        }
        for (Keeper* keeper : keepers) {
            keeper->step().IgnoreError();
        }
    }
    [[nodiscard]] bool both_may_order() const {
        return a.permit_order(true).ok() && b.permit_order(true).ok();
    }
};

/// Whether two holders may order at the same time when `a` freezes for longer than its lease.
template <class Keeper>
bool both_order_after_freeze() {
    two_holders<Keeper> holders;
    holders.run(step_period, {&holders.a});
    REQUIRE(holders.a.permit_order(true).ok());
    holders.run(3 * duration, {&holders.b});
    REQUIRE(holders.b.permit_order(true).ok());
    return holders.both_may_order();
}

/// The same, when the table is away for `a` only.
template <class Keeper>
bool both_order_after_outage() {
    two_holders<Keeper> holders;
    holders.run(step_period, {&holders.a, &holders.b});
    REQUIRE(holders.a.permit_order(true).ok());
    holders.table_of_a.down = true;
    bool both = false;
    for (int i = 0; i < 10; ++i) {
        holders.run(step_period, {&holders.a, &holders.b});
        both = both || holders.both_may_order();
    }
    REQUIRE(holders.b.permit_order(true).ok());
    return both;
}

/// Whether a holder keeps its lease when the reply to a renewal is lost.
template <class Keeper>
bool survives_lost_reply() {
    two_holders<Keeper> holders;
    holders.run(step_period, {&holders.a});
    holders.table_of_a.lost_commit_replies = 1;
    holders.a.step().IgnoreError();
    return holders.a.permit_order(true).ok();
}

} // namespace

TEST_CASE("a frozen holder may not order after its lease; a naive one does") {
    CHECK(both_order_after_freeze<naive_keeper>());
    CHECK_FALSE(both_order_after_freeze<lease_keeper>());
}

TEST_CASE("a holder without the table stops before the next one begins; a naive one does not") {
    CHECK(both_order_after_outage<naive_keeper>());
    CHECK_FALSE(both_order_after_outage<lease_keeper>());
}

TEST_CASE("a lost reply to a renewal is settled by the row; a naive holder gives up") {
    CHECK_FALSE(survives_lost_reply<naive_keeper>());
    CHECK(survives_lost_reply<lease_keeper>());
}

TEST_CASE("a lost reply to the first write still gives the lease, counted from its sending") {
    two_holders<lease_keeper> holders;
    holders.table_of_a.lost_commit_replies = 1;
    holders.table_of_a.before_commit = [&holders] { holders.time.advance(millis{2'000}); };
    holders.a.step().IgnoreError();
    CHECK(holders.a.held());
    CHECK(holders.a.remaining() == duration - margin - millis{2'000});
    CHECK(*holders.a.permit_order(false) == fencing_number(1));
}

TEST_CASE(
    "a table outage ends the lease at its safe time, and the holder resumes with its number") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    holders.table_of_a.down = true;
    holders.run(2 * duration, {&holders.a});
    CHECK_FALSE(holders.a.held());
    holders.table_of_a.down = false;
    holders.run(step_period, {&holders.a});
    CHECK(*holders.a.permit_order(false) == fencing_number(1));
}

TEST_CASE("a new holder waits before it orders servers that do not check fencing") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    holders.b.step().IgnoreError();
    holders.time.advance(duration);
    holders.b.step().IgnoreError();
    CHECK(*holders.b.permit_order(true) == fencing_number(2));
    CHECK(holders.b.permit_order(false).status().code() == absl::StatusCode::kUnavailable);
    holders.time.advance(longest_order);
    CHECK(*holders.b.permit_order(false) == fencing_number(2));
}

TEST_CASE("a released lease is taken at once, and by one of two") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    REQUIRE(holders.a.release().ok());
    CHECK_FALSE(holders.a.held());
    holders.table_of_b.before_commit = [&holders] {
        holders.table_of_b.before_commit = [] {};
        holders.a.step().IgnoreError();
    };
    holders.b.step().IgnoreError();
    CHECK(holders.a.held());
    CHECK_FALSE(holders.b.held());
    CHECK(*holders.a.permit_order(true) == fencing_number(2));
}

TEST_CASE("an order is not begun when it might outlast the lease") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    holders.time.advance(duration - margin - longest_order);
    CHECK(holders.a.permit_order(true).ok());
    holders.time.advance(millis{1});
    CHECK(holders.a.held());
    CHECK_FALSE(holders.a.permit_order(true).ok());
}

TEST_CASE("a lease is free at once after a release that follows a renewal without a reply") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    SECTION("the renewal took effect") {
        holders.table_of_a.lost_commit_replies = 1;
    }
    SECTION("the renewal takes effect while the release is written") {
        holders.table_of_a.late_commits = 1;
        holders.table_of_a.before_commit = [&holders] {
            holders.table_of_a.deliver_late_commits();
        };
    }
    holders.table_of_a.failed_reads = 1;
    holders.a.step().IgnoreError();
    REQUIRE(holders.a.release().ok());
    CHECK_FALSE(holders.a.held());
    holders.b.step().IgnoreError();
    CHECK(holders.b.held());
}

TEST_CASE("a release whose reply is lost is settled by the row") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    SECTION("it took effect") {
        holders.table_of_a.lost_commit_replies = 1;
    }
    SECTION("it did not take effect yet") {
        holders.table_of_a.late_commits = 1;
    }
    REQUIRE(holders.a.release().ok());
    holders.b.step().IgnoreError();
    CHECK(holders.b.held());
}

TEST_CASE("a release that the table does not take is reported") {
    two_holders<lease_keeper> holders;
    holders.run(step_period, {&holders.a});
    holders.table_of_a.down = true;
    CHECK(holders.a.release().code() == absl::StatusCode::kUnavailable);
    CHECK_FALSE(holders.a.held());
}
