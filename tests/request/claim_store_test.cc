#include "support/fixed_seed_check.h"
#include "support/manual_clock.h"

#include "jujubetide/request/claim_store.h"
#include "jujubetide/request/plain_call_machine.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace jujubetide;

namespace {

enum class table_fault { none, unavailable, reply_lost, late_apply };

/// A table in memory with scripted faults; a late commit is applied before the call after next.
class fake_table final : public table {
public:
    std::deque<table_fault> commit_faults;
    bool reads_fail = false;

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override {
        if (reads_fail) {
            return absl::UnavailableError("outage");
        }
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::optional<table_row>() : found->second;
    }
    absl::StatusOr<std::vector<table_row>> do_scan(const std::string& /*prefix*/,
                                                   const std::string& /*after*/,
                                                   std::size_t /*limit*/) override {
        return absl::UnimplementedError("scan");
    }
    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override {
        table_fault fault = table_fault::none;
        if (!commit_faults.empty()) {
            fault = commit_faults.front();
            commit_faults.pop_front();
        }
        if (fault == table_fault::unavailable) {
            return absl::UnavailableError("outage");
        }
        if (fault == table_fault::late_apply) {
            late_.push_back(transaction);
            return absl::DeadlineExceededError("no reply");
        }
        auto result = apply(transaction);
        while (!late_.empty()) {
            (void)apply(late_.front());
            late_.pop_front();
        }
        if (fault == table_fault::reply_lost) {
            return absl::DeadlineExceededError("no reply");
        }
        return result;
    }

private:
    absl::StatusOr<row_version> apply(const table_transaction& transaction) {
        for (const row_condition& condition : transaction.conditions) {
            const auto found = rows_.find(condition.key);
            const row_version held = found == rows_.end() ? row_version() : found->second.version;
            if (held != condition.version) {
                return absl::AbortedError("condition");
            }
        }
        version_ = version_.next();
        for (const row_write& write : transaction.writes) {
            rows_[write.key] = {write.key, *write.value, version_};
        }
        return version_;
    }

    std::map<std::string, table_row> rows_;
    std::deque<table_transaction> late_;
    row_version version_;
};

class free_retries final : public retry_allowance {
protected:
    bool do_try_spend() override { return true; }
};

claim_query query_of(const std::string& claimant, std::uint64_t fingerprint = 7) {
    return {"idempotency/k", request_id(claimant), fingerprint, millis{5'000}};
}

const stored_answer booked{201, "text/plain", std::string("berth\0 4\xff", 9)};

/// Runs calls with one key under scripted table faults and counts how often the call was sent.
int count_sends(const std::vector<std::uint8_t>& script, bool naive) {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    int sends = 0;
    int caller = 0;
    for (const std::uint8_t code : script) {
        for (std::uint8_t bits = code; bits > 0; bits /= 4) {
            rows.commit_faults.push_back(static_cast<table_fault>(bits % 4));
        }
        const claim_query query = query_of("c" + std::to_string(caller++));
        const claim_answer answer = store.claim(query);
        rows.commit_faults.clear();
        const bool send = answer.outcome == claim_outcome::won ||
                          (naive && answer.outcome == claim_outcome::undecided);
        if (!send) {
            continue;
        }
        if (code % 5 == 0 && !naive) {
            // The claimant finds that it may not send any more.
            (void)store.release(query, answer.version);
            continue;
        }
        ++sends;
        if (code % 3 == 0) {
            (void)store.store(query, answer.version, booked);
        }
    }
    return sends;
}

} // namespace

TEST_CASE("one key is sent at most once under lost, late and refused commits") {
    constexpr std::uint64_t seed = 41;
    const auto at_most_once = [](bool naive) {
        return [naive](const std::vector<std::uint8_t>& script) {
            RC_ASSERT(count_sends(script, naive) <= 1);
        };
    };
    CHECK(fixed_seed_check("claim store", seed, 2'000, at_most_once(false)));
    CHECK_FALSE(fixed_seed_check("naive claim", seed, 2'000, at_most_once(true), true));
}

TEST_CASE("a completed call returns the stored answer byte for byte") {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    const claim_answer won = store.claim(query_of("c1"));
    REQUIRE(won.outcome == claim_outcome::won);
    CHECK(store.claim(query_of("c2")).outcome == claim_outcome::running);
    CHECK(store.claim(query_of("c2", 8)).outcome == claim_outcome::other_call);
    REQUIRE(store.store(query_of("c1"), won.version, booked));
    const claim_answer again = store.claim(query_of("c3"));
    CHECK(again.outcome == claim_outcome::done);
    CHECK(again.answer == booked);
}

TEST_CASE("lost replies to a claim and to its answer are settled by the row") {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    rows.commit_faults = {table_fault::reply_lost};
    const claim_answer won = store.claim(query_of("c1"));
    REQUIRE(won.outcome == claim_outcome::won);
    rows.commit_faults = {table_fault::reply_lost};
    CHECK(store.store(query_of("c1"), won.version, booked));
}

TEST_CASE("a claim whose claimant is gone is unknown and never taken over") {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    REQUIRE(store.claim(query_of("c1")).outcome == claim_outcome::won);
    time.advance(micros(5'000'000) + claim_store::clock_margin + micros(1'000));
    CHECK(store.claim(query_of("c2")).outcome == claim_outcome::unknown);
}

TEST_CASE("a released key can be claimed again, by one") {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    const claim_answer won = store.claim(query_of("c1"));
    REQUIRE(store.release(query_of("c1"), won.version));
    CHECK(store.claim(query_of("c2")).outcome == claim_outcome::won);
    CHECK(store.claim(query_of("c3")).outcome == claim_outcome::running);
}

TEST_CASE("without the table nothing is claimed") {
    fake_table rows;
    manual_clock time;
    claim_store store(rows, time);
    rows.commit_faults = {table_fault::unavailable};
    CHECK(store.claim(query_of("c1")).outcome == claim_outcome::undecided);
    rows.reads_fail = true;
    rows.commit_faults = {table_fault::reply_lost, table_fault::reply_lost,
                          table_fault::reply_lost};
    CHECK(store.claim(query_of("c1")).outcome == claim_outcome::undecided);
}

TEST_CASE("a call that is not idempotent is not sent again once it may have run") {
    free_retries retries;
    plain_call_machine call(request_id("r"), false, time_point(micros(1'000)), retries);
    CHECK(call.on_begin(time_point()).kind == plain_step_kind::choose);
    const failure_domain_id domain("a");
    CHECK(call.on_server_chosen(backend_server_id("s1"), domain, time_point()).kind ==
          plain_step_kind::send);
    CHECK(call.on_result(plain_outcome::not_run, time_point()).kind == plain_step_kind::choose);
    CHECK(call.on_server_chosen(backend_server_id("s2"), domain, time_point()).kind ==
          plain_step_kind::send);
    const plain_step refusal = call.on_result(plain_outcome::unknown, time_point());
    CHECK(refusal.kind == plain_step_kind::refuse);
    CHECK(refusal.may_have_run);
}

TEST_CASE("a claimant that was frozen past its time does not send") {
    free_retries retries;
    plain_call_machine call(request_id("r"), false, time_point(micros(1'000)), retries);
    REQUIRE(call.on_begin(time_point()).kind == plain_step_kind::choose);
    const plain_step late = call.on_server_chosen(backend_server_id("s1"), failure_domain_id("a"),
                                                  time_point(micros(1'000)));
    CHECK(late.kind == plain_step_kind::refuse);
    CHECK_FALSE(late.may_have_run);
}

TEST_CASE("an idempotent call may be sent again after a lost answer") {
    free_retries retries;
    plain_call_machine call(request_id("r"), true, time_point(micros(1'000)), retries);
    (void)call.on_begin(time_point());
    (void)call.on_server_chosen(backend_server_id("s1"), failure_domain_id("a"), time_point());
    CHECK(call.on_result(plain_outcome::unknown, time_point()).kind == plain_step_kind::choose);
}
