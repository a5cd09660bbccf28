#include "jujubetide/serving/prefix_cache_tracker.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubetide {
namespace {

/// Hit probability of a prompt that was just sent: the server may still fail to cache it.
constexpr double initial_hit_probability = 0.95;
/// Time in which the hit probability of an entry halves, in seconds.
constexpr double half_life_s = 40.0;
/// Own prefixes queued for the next digest; those beyond are not reported until they are sent
/// again.
constexpr std::size_t max_pending_updates = 256;

} // namespace

std::vector<prompt_prefix> shared_prefixes(std::span<const prompt_part> parts) {
    std::vector<prompt_prefix> prefixes;
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        hash = stable_hash(parts[i].id, hash);
        tokens += parts[i].tokens;
        prefixes.push_back({prefix_key(hash), tokens});
    }
    return prefixes;
}

void prefix_cache_tracker::on_prefix_cached(prefix_key key, const backend_server_id& server,
                                            time_point now) {
    std::vector<entry>& list = entries_[key];
    for (entry& item : list) {
        if (item.server == server) {
            item.first_at = now - item.cached_at < retention_time ? item.first_at : now;
            item.cached_at = now;
            return;
        }
    }
    list.push_back({server, now, now});
}

void prefix_cache_tracker::on_own_prefix_cached(prefix_key key, const backend_server_id& server,
                                                time_point now) {
    on_prefix_cached(key, server, now);
    if (pending_updates_.size() < max_pending_updates) {
        pending_updates_.push_back({key, server});
    }
}

double prefix_cache_tracker::hit_probability(prefix_key key, const backend_server_id& server,
                                             time_point now) const {
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return 0.0;
    }
    for (const entry& item : found->second) {
        if (item.server == server) {
            return probability(item, now);
        }
    }
    return 0.0;
}

double prefix_cache_tracker::probability(const entry& of, time_point now) {
    if (now - of.cached_at >= retention_time) {
        return 0.0;
    }
    const std::chrono::duration<double> age = now - of.cached_at;
    return initial_hit_probability * std::exp2(-std::max(0.0, age.count()) / half_life_s);
}

expected_caches prefix_cache_tracker::expected(std::span<const prompt_prefix> prefixes,
                                               time_point now) const {
    expected_caches caches;
    for (const prompt_prefix& prefix : prefixes) {
        const auto found = entries_.find(prefix.key);
        if (found == entries_.end()) {
            continue;
        }
        for (const entry& item : found->second) {
            const double tokens = static_cast<double>(prefix.tokens) * probability(item, now);
            if (tokens <= 0.0) {
                continue;
            }
            expected_cache& cache = caches[item.server];
            cache.tokens = std::max(cache.tokens, tokens);
            if (now - item.first_at >= settling_time) {
                cache.settled_tokens = std::max(cache.settled_tokens, tokens);
            }
        }
    }
    return caches;
}

void prefix_cache_tracker::forget(const backend_server_id& server) {
    for (auto& [key, list] : entries_) {
        std::erase_if(list, [&server](const entry& item) { return item.server == server; });
    }
}

void prefix_cache_tracker::expire(time_point now) {
    for (auto& [key, list] : entries_) {
        std::erase_if(list,
                      [now](const entry& item) { return now - item.cached_at >= retention_time; });
    }
    absl::erase_if(entries_, [](const auto& item) { return item.second.empty(); });
}

std::vector<cached_prefix> prefix_cache_tracker::take_updates() {
    return std::exchange(pending_updates_, {});
}

} // namespace jujubetide
