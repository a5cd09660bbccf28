#include "jujubetide/request/claim_store.h"

#include <utility>

// Only an insert that the table confirms, or a row that names the own request, allows the call to
// be sent. A commit whose reply was lost may still take effect later, so a row that reads as absent
// proves nothing: the insert is repeated, which changes nothing when the first one arrives as well,
// and where no reply comes at all the call is not sent.

namespace jujubetide {
namespace {

claim_record make_claim(const claim_query& query, wall_time now) {
    claim_record record;
    record.claimant = query.claimant;
    record.fingerprint = query.fingerprint;
    record.expected_by = now + query.time_left;
    return record;
}

} // namespace

claim_answer claim_store::claim(const claim_query& query) {
    claim_answer answer = insert(query, row_version(0));
    if (answer.outcome != claim_outcome::undecided || answer.version == row_version(0)) {
        return answer;
    }
    // The row was released at this version, by a claimant that never sent.
    answer = insert(query, answer.version);
    return answer.outcome == claim_outcome::undecided ? claim_answer{} : answer;
}

claim_answer claim_store::insert(const claim_query& query, row_version at) {
    const table_transaction insertion{
        {{query.row_key, at}}, {{query.row_key, encode(make_claim(query, clock_.wall_now()))}}};
    for (int i = 0; i < max_tries; ++i) {
        const absl::StatusOr<row_version> written = table_.commit(insertion);
        if (written.ok()) {
            return {claim_outcome::won, *written, {}};
        }
        if (absl::IsUnavailable(written.status())) {
            // An earlier try may have been applied; nothing is sent either way.
            return {};
        }
        const auto row = table_.get(query.row_key);
        if (row.ok() && row->has_value() && (*row)->version != at) {
            return judge(query, **row);
        }
    }
    return {};
}

claim_answer claim_store::judge(const claim_query& query, const table_row& row) {
    const absl::StatusOr<claim_record> record = decode_claim_record(row.value);
    if (!record.ok()) {
        return {claim_outcome::unknown, row.version, {}};
    }
    if (record->state == claim_state::released) {
        return {claim_outcome::undecided, row.version, {}};
    }
    if (record->fingerprint != query.fingerprint) {
        return {claim_outcome::other_call, row.version, {}};
    }
    if (record->state == claim_state::done) {
        return {claim_outcome::done, row.version, record->answer};
    }
    if (record->claimant == query.claimant) {
        return {claim_outcome::won, row.version, {}};
    }
    const bool lost = clock_.wall_now() > record->expected_by + clock_margin;
    return {lost ? claim_outcome::unknown : claim_outcome::running, row.version, {}};
}

bool claim_store::store(const claim_query& query, row_version claimed,
                        const stored_answer& answer) {
    claim_record record = make_claim(query, clock_.wall_now());
    record.state = claim_state::done;
    record.answer = answer;
    return replace(query, claimed, record);
}

bool claim_store::release(const claim_query& query, row_version claimed) {
    claim_record record = make_claim(query, clock_.wall_now());
    record.state = claim_state::released;
    return replace(query, claimed, record);
}

bool claim_store::replace(const claim_query& query, row_version claimed,
                          const claim_record& record) {
    const table_transaction replacement{{{query.row_key, claimed}},
                                        {{query.row_key, encode(record)}}};
    for (int i = 0; i < max_tries; ++i) {
        const absl::StatusOr<row_version> written = table_.commit(replacement);
        if (written.ok()) {
            return true;
        }
        const auto row = table_.get(query.row_key);
        if (row.ok() && row->has_value() && (*row)->version != claimed) {
            // Only the claimant writes a claimed row, so an earlier try was applied.
            const auto held = decode_claim_record((*row)->value);
            return held.ok() && held->claimant == query.claimant && held->state == record.state;
        }
    }
    return false;
}

} // namespace jujubetide
