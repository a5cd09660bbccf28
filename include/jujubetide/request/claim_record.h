#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace jujubetide {

/// `released`: the claimant never sent the call and never will, so the key may be claimed again.
enum class claim_state : std::uint8_t { claimed, done, released };

/// The answer that a claimed call got, kept byte for byte.
struct stored_answer {
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// The table row of one idempotency key.
struct claim_record {
    claim_state state = claim_state::claimed;
    /// The request that claimed the key.
    request_id claimant;
    /// Hash of the call; another call under the same key has another one.
    std::uint64_t fingerprint = 0;
    /// After this, a claim without an answer has lost its claimant.
    wall_time expected_by{};
    /// Valid when done.
    stored_answer answer;
};

std::string encode(const claim_record& record);
/// DataLoss when the text is no claim record.
absl::StatusOr<claim_record> decode_claim_record(const std::string& text);

/// Key of the row; keys of different customers and services never meet.
std::string claim_row_key(const customer_id& customer, const service_id& service,
                          const idempotency_key& key);

} // namespace jujubetide
