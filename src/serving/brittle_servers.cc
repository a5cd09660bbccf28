#include "jujubetide/serving/brittle_servers.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Half-life of a call's weight in the demand, in seconds.
constexpr double half_life_s = 2.0;

} // namespace

bool brittle_servers::on_answer(const backend_server_id& server,
                                std::optional<std::uint32_t> rejections_per_second) {
    if (!rejections_per_second) {
        return servers_.erase(server) > 0;
    }
    const auto [entry, is_new] = servers_.try_emplace(server);
    const bool is_news = is_new || entry->second.rejections_per_second != *rejections_per_second;
    entry->second.rejections_per_second = *rejections_per_second;
    return is_news;
}

void brittle_servers::on_rejected(const backend_server_id& server, time_point now) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    // If every node has one call rejected in each pause, the server stands it.
    const auto allowed = std::max<std::size_t>(1, found->second.rejections_per_second);
    const micros pause = std::chrono::seconds(1 + nodes_ / allowed);
    found->second.paused_until = now + std::min(pause, max_pause);
}

bool brittle_servers::may_send(const backend_server_id& server, std::size_t slots,
                               std::size_t running, time_point now) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return true;
    }
    brittle_server& brittle = found->second;
    const std::chrono::duration<double> age = now - brittle.demand_at;
    brittle.demand = brittle.demand * std::exp2(-std::max(0.0, age.count()) / half_life_s) + 1.0;
    brittle.demand_at = now;
    if (now < brittle.paused_until || running >= slots) {
        return false;
    }
    const double calls_per_second = brittle.demand * std::log(2.0) / half_life_s;
    const double unseen_calls = calls_per_second * static_cast<double>(nodes_) *
                                std::chrono::duration<double>(report_delay).count();
    const double usable = static_cast<double>(slots - running) * usable_room;
    return random_.uniform() * unseen_calls < usable;
}

} // namespace jujubetide
