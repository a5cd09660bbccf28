#include "jujubetide/serving/server_health.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Outcomes lose half their weight in this time, in seconds.
constexpr double half_life_s = 2.0;
/// Answers assumed to have succeeded, so that one failure alone says little.
constexpr double assumed_successes = 2.0;

} // namespace

void server_health::fade(state& of, time_point now) {
    const std::chrono::duration<double> age = now - of.updated;
    const double kept = std::exp2(-std::max(0.0, age.count()) / half_life_s);
    of.failures *= kept;
    of.answers *= kept;
    of.updated = now;
}

void server_health::on_success(const backend_server_id& id, time_point now) {
    state& of = states_[id];
    fade(of, now);
    of.answers += 1.0;
    of.consecutive_unreachable = 0;
    of.paused_until = {};
}

void server_health::on_bad_answer(const backend_server_id& id, time_point now) {
    state& of = states_[id];
    fade(of, now);
    of.answers += 1.0;
    of.failures += 1.0;
}

void server_health::on_unreachable(const backend_server_id& id, time_point now) {
    state& of = states_[id];
    fade(of, now);
    constexpr int max_doublings = 5;
    const auto factor = 1 << std::min(of.consecutive_unreachable, max_doublings);
    of.paused_until = now + std::min(initial_pause * factor, max_pause);
    ++of.consecutive_unreachable;
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
    state of = found->second;
    fade(of, now);
    return of.failures / (of.answers + assumed_successes);
}

} // namespace jujubetide
