#pragma once

#include "node/serving_state.h"

#include "jujubetide/http1/message.h"

#include <string>

namespace jujubetide {

/// Logs and counts that an answer to another attempt was skipped while `server` owed the one to
/// `attempt`.
void log_skipped_answer(serving_state& state, const std::string& attempt,
                        const backend_server_id& server, const response_fields& fields,
                        const response_head& head);

} // namespace jujubetide
