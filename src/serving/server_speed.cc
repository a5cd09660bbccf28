#include "jujubetide/serving/server_speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace jujubetide {
namespace {

/// Short answers say less: most of their time does not depend on the server's speed.
constexpr double uncertain_ms = 20.0;
constexpr double max_ratio = 8.0;
/// Time in which the weight of a recent observation halves, in seconds.
constexpr double recent_half_life_s = 0.3;
/// Weight of recent observations that counts as a phase: more than one answer.
constexpr double min_phase_weight = 1.2;
/// Difference, in the logarithm, that is not taken for noise.
constexpr double min_difference = 0.4;
/// A difference that stays for longer, over several answers, is no phase.
constexpr micros max_phase{2'000'000};
constexpr double min_differing_weight = 3.0;
/// Weight of the assumption that a server is of the usual speed, and of past observations.
constexpr double assumed_weight = 3.0;
constexpr double max_lasting_weight = 12.0;
/// Beyond this number, servers without answers for some time are forgotten: answers may end after
/// their server has gone.
constexpr std::size_t max_idle_servers = 1'000;
constexpr micros idle_time{60'000'000};

} // namespace

double server_speed::recent_weight(const state& of, time_point now) {
    const std::chrono::duration<double> age = std::max(micros{0}, now - of.updated);
    return of.recent_weight * std::exp2(-age.count() / recent_half_life_s);
}

bool server_speed::differs(const state& of) {
    return std::abs(of.recent - of.lasting) > min_difference;
}

void server_speed::observe(const backend_server_id& id, double expected_ms, double seen_ms,
                           time_point now) {
    if (expected_ms <= 0.0) {
        return;
    }
    if (states_.size() > max_idle_servers) {
        absl::erase_if(states_,
                       [now](const auto& entry) { return now - entry.second.updated > idle_time; });
    }
    const double weight = expected_ms / (expected_ms + uncertain_ms);
    const double seen = std::log(std::clamp(seen_ms / expected_ms, 1.0 / max_ratio, max_ratio));
    state& server = states_[id];
    const double before = recent_weight(server, now);
    server.recent = (server.recent * before + seen * weight) / (before + weight);
    server.recent_weight = before + weight;
    server.updated = now;
    server.lasting_weight = std::min(max_lasting_weight, server.lasting_weight + weight);
    server.lasting += std::clamp(seen - server.lasting, -min_difference, min_difference) * weight /
                      (server.lasting_weight + assumed_weight);
    if (!differs(server)) {
        server.differing_weight = 0.0;
        return;
    }
    const bool is_slower = server.recent > server.lasting;
    if (server.differing_weight <= 0.0 || is_slower != server.is_slower) {
        server.differs_since = now;
        server.differing_weight = 0.0;
        server.differing_sum = 0.0;
        server.is_slower = is_slower;
    }
    server.differing_weight += weight;
    server.differing_sum += seen * weight;
    if (now - server.differs_since > max_phase && server.differing_weight > min_differing_weight) {
        server.lasting = server.differing_sum / server.differing_weight;
        server.lasting_weight = assumed_weight;
        server.differing_weight = 0.0;
    }
}

double server_speed::slowdown(const backend_server_id& id, time_point now) const {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return 1.0;
    }
    const bool in_phase =
        differs(found->second) && recent_weight(found->second, now) >= min_phase_weight;
    return std::exp(in_phase ? found->second.recent : found->second.lasting);
}

} // namespace jujubetide
