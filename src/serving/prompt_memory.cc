#include "jujubetide/serving/prompt_memory.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubetide {
namespace {

/// Belief in a reading that has just begun: the server may yet fail to keep it.
constexpr double fresh_belief = 0.95;
/// Readings lose half of the belief in this time, in seconds.
constexpr double half_life_s = 40.0;
/// Own readings that wait to be told; more are told by later digests' traffic.
constexpr std::size_t max_news = 256;

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

void prompt_memory::on_read(prefix_key key, const backend_server_id& server, time_point now) {
    std::vector<reading>& list = readings_[key];
    for (reading& one : list) {
        if (one.server == server) {
            one.at = now;
            return;
        }
    }
    list.push_back({server, now});
}

void prompt_memory::on_own_read(prefix_key key, const backend_server_id& server, time_point now) {
    on_read(key, server, now);
    if (news_.size() < max_news) {
        news_.push_back({key, server});
    }
}

double prompt_memory::belief(prefix_key key, const backend_server_id& server,
                             time_point now) const {
    const auto found = readings_.find(key);
    if (found == readings_.end()) {
        return 0.0;
    }
    for (const reading& one : found->second) {
        if (one.server == server && now - one.at < lifetime) {
            const std::chrono::duration<double> age = now - one.at;
            return fresh_belief * std::exp2(-std::max(0.0, age.count()) / half_life_s);
        }
    }
    return 0.0;
}

void prompt_memory::forget(const backend_server_id& server) {
    for (auto& [key, list] : readings_) {
        std::erase_if(list, [&server](const reading& one) { return one.server == server; });
    }
}

void prompt_memory::expire(time_point now) {
    for (auto& [key, list] : readings_) {
        std::erase_if(list, [now](const reading& one) { return now - one.at >= lifetime; });
    }
    absl::erase_if(readings_, [](const auto& item) { return item.second.empty(); });
}

std::vector<prefix_reading> prompt_memory::take_news() {
    return std::exchange(news_, {});
}

} // namespace jujubetide
