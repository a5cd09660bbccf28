#pragma once

#include "jujubetide/http1/message.h"
#include "jujubetide/node/call_codec.h"
#include "jujubetide/serving/retry_policy.h"

#include <span>
#include <string>
#include <string_view>

namespace jujubetide {

/// Texts of log lines about calls.
std::string ms_text(micros duration);
/// Ids of the prompt's parts that other calls may share, in order.
std::string shared_part_ids(std::span<const prompt_part> parts);
/// The limit that the server named, in calls per second.
std::string limit_text(const response_fields& fields);
std::string_view name_of(body_framing framing);
std::string_view name_of(attempt_outcome outcome);

} // namespace jujubetide
