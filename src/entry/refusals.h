#pragma once

#include "entry/entry_parts.h"

#include "jujubetide/http/problem.h"
#include "jujubetide/request/request_action.h"

#include <string>

namespace jujubetide {

/// When callers should come back where nothing better is known.
inline constexpr millis default_retry_after{1'000};

problem make_problem(int status, std::string code, std::string detail);
/// The final answer to a request that its machine gave up.
problem refusal_of(const refuse_request& action);
/// The final answer to a request that was not admitted.
problem refusal_of(const admission_decision& decision);
problem no_server_refusal();
/// The node takes no new work.
problem draining_refusal(std::vector<std::string> other_entries);
/// The node has no settings yet.
problem not_ready_refusal();

} // namespace jujubetide
