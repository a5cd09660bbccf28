#pragma once

#include "jujubetide/node/call_codec.h"
#include "jujubetide/serving/backend_list.h"

#include <vector>

namespace jujubetide {

struct serving_state;

/// Applies and logs what an answer of `server` says about its leaving.
void apply_leaving_notice(serving_state& state, const backend_server& server,
                          const response_fields& fields);
/// Applies and logs what a peer heard of servers that leave.
void apply_leaving_reports(serving_state& state, const std::vector<leaving_report>& reports);

} // namespace jujubetide
