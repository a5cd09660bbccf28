#pragma once

#include "entry/entry_parts.h"

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

/// Everything that another entry node needs to go on with an accepted request.
struct hand_over_record {
    request_id request;
    std::string caller_request_id;
    customer_id customer;
    service_id service;
    route_id route;
    version_id version;
    revision settings;
    std::string model;
    bool chat = false;
    std::string prompt;
    std::uint32_t max_pieces = 0;
    int priority = 0;
    millis time_left{0};
    /// The answer so far.
    std::vector<std::string> pieces;
    std::uint32_t next_attempt = 0;
    bool may_have_run = false;
};

std::string encode(const hand_over_record& record);
/// DataLoss when the bytes are no record.
absl::StatusOr<hand_over_record> decode_hand_over(const std::string& bytes);

/// Offers the record to peers, one after the other, until one takes it, and returns where callers
/// reach that one. Unavailable when none did. A peer that may have taken it is asked again, since
/// taking it twice changes nothing.
absl::StatusOr<endpoint> hand_over(entry_parts& parts, const entry_identity& self,
                                   const hand_over_record& record);

} // namespace jujubetide
