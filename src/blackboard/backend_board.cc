#include "jujubetide/blackboard/backend_board.h"

#include <algorithm>

namespace jujubetide {

void backend_board::report_load(const backend_server_id& id, const load_report& load,
                                time_point now) {
    states_.update(id, [&load, now](backend_state& state) {
        if (state.has_load && load.sequence <= state.load.sequence) {
            return;
        }
        state.load = load;
        state.load_received_at = now;
        state.has_load = true;
        state.own_sent_since_load = 0;
        state.own_prompt_tokens_since_load = token_count();
    });
}

void backend_board::on_sent(const backend_server_id& id, token_count prompt_tokens) {
    states_.update(id, [prompt_tokens](backend_state& state) {
        ++state.own_running;
        ++state.own_sent_since_load;
        state.own_prompt_tokens_since_load += prompt_tokens;
    });
}

void backend_board::on_finished(const backend_server_id& id) {
    states_.update(id, [](backend_state& state) {
        if (state.own_running > 0) {
            --state.own_running;
        }
    });
}

void backend_board::on_failure(const backend_server_id& id, time_point now, micros avoid_for) {
    states_.update(id, [now, avoid_for](backend_state& state) {
        ++state.consecutive_failures;
        state.avoid_until = std::max(state.avoid_until, now + avoid_for);
    });
}

void backend_board::on_success(const backend_server_id& id) {
    states_.update(id, [](backend_state& state) { state.consecutive_failures = 0; });
}

backend_state backend_board::state(const backend_server_id& id) const {
    return states_.get(id).value_or(backend_state{});
}

bool backend_board::mark_leaving(const host_id& host) {
    const bool is_new = leaving_.insert(host, true);
    if (is_new) {
        ++leaving_count_;
    }
    return is_new;
}

bool backend_board::is_leaving(const host_id& host) const {
    return leaving_count_ > 0 && leaving_.get(host).has_value();
}

bool backend_board::is_usable(const backend_server_id& id, const host_id& host,
                              time_point now) const {
    if (is_leaving(host)) {
        return false;
    }
    bool avoided = false;
    states_.visit(id, [&](const backend_state& state) { avoided = state.avoid_until > now; });
    return !avoided;
}

} // namespace jujubetide
