#include "node/server_remarks.h"

#include "node/node_events.h"
#include "node/serving_state.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

void apply_server_limit(serving_state& state, const backend_server& server,
                        const response_fields& fields) {
    if (fields.wrong_server) {
        return;
    }
    if (fields.has_malformed_limit) {
        state.log.write(server_limit_rejected, {{"server", server.id.str()}});
        return;
    }
    const std::optional<double> limit = fields.calls_per_second;
    if (state.backends.find(server.id) == nullptr ||
        !state.limits.on_answer(server.id, limit, state.time.now())) {
        return;
    }
    if (limit) {
        state.log.write(server_limit_named, {{"server", server.id.str()},
                                             {"calls_per_second", absl::StrCat(*limit)},
                                             {"nodes", std::to_string(state.nodes)}});
    } else {
        state.log.write(server_limit_ended, {{"server", server.id.str()}});
    }
}

void apply_brittleness(serving_state& state, const backend_server& server,
                       const response_fields& fields) {
    if (fields.wrong_server || state.backends.find(server.id) == nullptr) {
        return;
    }
    if (fields.has_malformed_brittleness) {
        state.log.write(server_brittleness_rejected, {{"server", server.id.str()}});
        return;
    }
    const std::optional<std::uint32_t> number = fields.rejections_per_second;
    if (!state.brittle.on_answer(server.id, number)) {
        return;
    }
    if (number) {
        state.log.write(server_brittle, {{"server", server.id.str()},
                                         {"rejections_per_second", absl::StrCat(*number)}});
    } else {
        state.log.write(server_brittle_ended, {{"server", server.id.str()}});
    }
}

} // namespace jujubetide
