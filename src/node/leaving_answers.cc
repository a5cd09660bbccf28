#include "node/leaving_answers.h"

#include "node/node_events.h"
#include "node/serving_state.h"

namespace jujubetide {

void apply_leaving_notice(serving_state& state, const backend_server& server,
                          const response_fields& fields) {
    if (fields.wrong_server) {
        return; // Another server answers at the address.
    }
    if (fields.has_malformed_leaving) {
        state.log.write(server_leaving_rejected, {{"server", server.id.str()}});
        return;
    }
    if (fields.is_leaving && state.backends.on_leaving_answer(server, state.time.now())) {
        state.log.write(server_leaving_notice, {{"server", server.id.str()}, {"from", "answer"}});
    }
}

void apply_leaving_reports(serving_state& state, const std::vector<leaving_report>& reports) {
    for (const backend_server_id& id :
         state.backends.on_peer_leaving_reports(reports, state.time.now())) {
        state.log.write(server_leaving_notice, {{"server", id.str()}, {"from", "peer"}});
    }
}

} // namespace jujubetide
