#include "jujubetide/serving/server_health.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Half-life of the weight of an outcome, in seconds.
constexpr double half_life_s = 2.0;
/// Successes assumed in advance, so that a single failure has little effect.
constexpr double assumed_successes = 2.0;

} // namespace

void server_health::fade(state& server, time_point now) {
    const std::chrono::duration<double> age = now - server.updated;
    const double kept = std::exp2(-std::max(0.0, age.count()) / half_life_s);
    server.failures *= kept;
    server.answers *= kept;
    server.updated = now;
}

void server_health::on_success(const backend_server_id& id, time_point now) {
    state& server = states_[id];
    fade(server, now);
    server.answers += 1.0;
    server.consecutive_unreachable = 0;
    server.paused_until = {};
}

void server_health::on_bad_answer(const backend_server_id& id, time_point now) {
    state& server = states_[id];
    fade(server, now);
    server.answers += 1.0;
    server.failures += 1.0;
}

void server_health::on_unreachable(const backend_server_id& id, time_point now) {
    state& server = states_[id];
    fade(server, now);
    constexpr int max_doublings = 5;
    const auto factor = 1 << std::min(server.consecutive_unreachable, max_doublings);
    server.paused_until = now + std::min(initial_pause * factor, max_pause);
    ++server.consecutive_unreachable;
}

void server_health::forget_unreachable() {
    for (auto& [id, server] : states_) {
        server.consecutive_unreachable = 0;
        server.paused_until = {};
    }
}

bool server_health::is_paused(const backend_server_id& id, time_point now) const {
    const auto found = states_.find(id);
    return found != states_.end() && now < found->second.paused_until;
}

double server_health::failure_rate(const backend_server_id& id, time_point now) const {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return 0.0;
    }
    state server = found->second;
    fade(server, now);
    return server.failures / (server.answers + assumed_successes);
}

} // namespace jujubetide
