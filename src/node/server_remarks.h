#pragma once

#include "jujubetide/node/call_codec.h"
#include "jujubetide/serving/backend_list.h"

namespace jujubetide {

struct serving_state;

/// Passes on what an answer of `server` says about its limit.
void apply_server_limit(serving_state& state, const backend_server& server,
                        const response_fields& fields);
/// Passes on what an answer of `server` says about the rejections that it can stand.
void apply_brittleness(serving_state& state, const backend_server& server,
                       const response_fields& fields);

} // namespace jujubetide
