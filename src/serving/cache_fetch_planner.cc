#include "jujubetide/serving/cache_fetch_planner.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>
#include <utility>

namespace jujubetide {
namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// A source whose recent answers failed more often than this may be about to stop.
constexpr double max_failure_rate = 0.5;
/// Holders with less than this fraction of the most expected tokens are not considered.
constexpr double min_holder_fraction = 0.9;
/// Holders of each failure domain and version among which a call chooses.
constexpr std::size_t holders_per_group = 2;
/// Transfers between failure domains take that many times longer than within one.
constexpr int remote_transfer_factor = 2;
/// Callers do not notice a smaller gain than this fraction of the time that they allow.
constexpr double noticeable_fraction = 0.02;
/// A call that is expected to begin within this fraction of its time needs no fetch: the rest
/// covers errors of the estimate.
constexpr double calm_fraction = 0.5;

micros transfer_time(const engine_cache_link& link, double tokens) {
    return std::chrono::duration_cast<micros>(
        std::chrono::duration<double>(tokens * link.bits_per_token() / link.bits_per_second));
}

} // namespace

bool cache_fetch_planner::can_serve(const backend_server& source, time_point now) const {
    return !health_.is_paused(source.id, now) &&
           health_.failure_rate(source.id, now) < max_failure_rate;
}

micros cache_fetch_planner::link_wait(const backend_server_id& id, time_point now) const {
    const auto found = link_free_at_.find(id);
    return found == link_free_at_.end() ? micros{0} : std::max(micros{0}, found->second - now);
}

std::vector<cache_fetch_planner::holder>
cache_fetch_planner::holders(const call& of, std::span<const backend_server* const> servers) const {
    if (of.link == nullptr || of.caches.empty()) {
        return {};
    }
    std::vector<holder> found;
    double most = 0.0;
    for (const backend_server* server : servers) {
        const auto cache = of.caches.find(server->id);
        if (cache != of.caches.end() && cache->second.settled_tokens > 0.0 &&
            can_serve(*server, of.now)) {
            found.push_back({server, cache->second.settled_tokens,
                             rendezvous_weight(of.key, server->id.str())});
            most = std::max(most, cache->second.settled_tokens);
        }
    }
    std::erase_if(found,
                  [most](const holder& one) { return one.tokens < min_holder_fraction * most; });
    std::sort(found.begin(), found.end(), [](const holder& a, const holder& b) {
        return std::pair(a.weight, a.server->id) > std::pair(b.weight, b.server->id);
    });
    std::map<std::pair<failure_domain_id, version_id>, std::size_t> counts;
    std::erase_if(found, [&counts](const holder& one) {
        return ++counts[{one.server->failure_domain, one.server->version}] > holders_per_group;
    });
    return found;
}

std::optional<cache_fetch> cache_fetch_planner::plan(const call& of,
                                                     std::span<const holder> holders,
                                                     const backend_server& destination,
                                                     const estimate& without) const {
    const auto cache = of.caches.find(destination.id);
    const double own_tokens = cache == of.caches.end() ? 0.0 : cache->second.tokens;
    std::optional<cache_fetch> best;
    std::uint64_t best_load = 0;
    for (const holder& one : holders) {
        const backend_server& source = *one.server;
        if (source.id == destination.id || source.version != destination.version ||
            one.tokens <= own_tokens) {
            continue;
        }
        const double tokens = one.tokens - own_tokens;
        const bool is_remote = source.failure_domain != destination.failure_domain;
        const micros duration =
            std::max(link_wait(source.id, of.now), link_wait(destination.id, of.now)) +
            transfer_time(*of.link, tokens) * (is_remote ? remote_transfer_factor : 1);
        const std::uint64_t load = loads_.total(source.id).prefill_tokens;
        if (!best || std::tie(duration, load) < std::tie(best->duration, best_load)) {
            best = {source.id, source.address, static_cast<std::uint64_t>(tokens), duration};
            best_load = load;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const double duration_ms = milliseconds(best->duration).count();
    const double target_ms = milliseconds(std::max(micros{0}, of.time_to_target)).count();
    const double gain_ms = static_cast<double>(best->tokens) * without.ms_per_token - duration_ms;
    const bool pays = gain_ms > std::max(duration_ms, noticeable_fraction * target_ms);
    const bool is_needed =
        without.first_event_ms > calm_fraction * target_ms || without.waiting_ms > duration_ms;
    return pays && is_needed ? best : std::nullopt;
}

void cache_fetch_planner::on_sent(const backend_server_id& destination, const cache_fetch& fetch,
                                  time_point now) {
    absl::erase_if(link_free_at_, [now](const auto& item) { return item.second <= now; });
    const time_point end = now + fetch.duration;
    link_free_at_[fetch.source] = std::max(link_free_at_[fetch.source], end);
    link_free_at_[destination] = std::max(link_free_at_[destination], end);
}

} // namespace jujubetide
