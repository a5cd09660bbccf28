#include "node/skipped_answers.h"

#include "node/node_events.h"

namespace jujubetide {

void log_skipped_answer(serving_state& state, const std::string& attempt,
                        const backend_server_id& server, const response_fields& fields,
                        const response_head& head) {
    state.metrics.on_skipped_answer();
    state.log.write(foreign_answer_skipped, {{"id", attempt},
                                             {"server", server.str()},
                                             {"other", fields.attempt_id},
                                             {"status", std::to_string(head.status)},
                                             {"refusal", fields.not_run ? "yes" : "no"}});
}

} // namespace jujubetide
