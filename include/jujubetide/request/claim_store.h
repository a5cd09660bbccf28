#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/platform/table.h"
#include "jujubetide/request/claim_record.h"

#include <string>

namespace jujubetide {

enum class claim_outcome {
    /// The caller holds the key and may send, until its time is over.
    won,
    /// The call was completed before; its answer is there.
    done,
    /// Another call with the key runs.
    running,
    /// The claimant is gone; whether the call ran is not known.
    unknown,
    /// The key was used for another call.
    other_call,
    /// The table did not decide in time; this caller must not send.
    undecided,
};

struct claim_query {
    std::string row_key;
    request_id claimant;
    std::uint64_t fingerprint = 0;
    /// Time left until the caller's deadline.
    millis time_left{0};
};

struct claim_answer {
    claim_outcome outcome = claim_outcome::undecided;
    /// Version of the claim when won.
    row_version version;
    /// Valid when done.
    stored_answer answer;
};

/// Claims of idempotency keys in the platform's table, which alone decides. A claim is never taken
/// over: whoever finds one without an answer must not run the call. Thread-safe; calls block on the
/// table.
class claim_store {
public:
    /// Commits sent for one claim or answer while their replies are lost.
    static constexpr int max_tries = 3;
    /// Difference allowed between the civil clocks of hosts.
    static constexpr millis clock_margin{2'000};

    /// Both must outlive the store.
    claim_store(table& platform_table, clock& time) : table_(platform_table), clock_(time) {}

    /// Inserts the claim, or tells what stands at the key. Settles lost replies by reading the row.
    claim_answer claim(const claim_query& query);
    /// Keeps the answer of a won claim. Returns whether the table holds it.
    bool store(const claim_query& query, row_version claimed, const stored_answer& answer);
    /// Gives a won claim back; only for a call that was certainly not run and never will be.
    bool release(const claim_query& query, row_version claimed);

private:
    claim_answer insert(const claim_query& query, row_version at);
    claim_answer judge(const claim_query& query, const table_row& row);
    bool replace(const claim_query& query, row_version claimed, const claim_record& record);

    table& table_;
    clock& clock_;
};

} // namespace jujubetide
