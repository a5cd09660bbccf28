#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace jujubetide {

/// A piece of a prompt that other calls may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// Identifies a prompt's beginning, over all of its parts.
using prefix_key = strong_number<struct prefix_key_tag>;

/// The beginning of a prompt up to the end of one part.
struct prompt_prefix {
    prefix_key key;
    std::uint64_t tokens = 0;
};

/// The beginnings of a prompt that other calls may share: all but the whole, shortest first.
std::vector<prompt_prefix> shared_prefixes(std::span<const prompt_part> parts);

/// A server was given a prompt with this beginning.
struct cached_prefix {
    prefix_key key;
    backend_server_id server;
};

/// Remembers which backend servers have read which beginnings of prompts, from this node's own
/// sends and what peers tell of theirs. Not thread-safe.
class prefix_cache_tracker {
public:
    /// Older readings are forgotten: the server has likely dropped them.
    static constexpr micros retention_time{60'000'000};

    void on_prefix_cached(prefix_key key, const backend_server_id& server, time_point now);
    /// How surely the server still has the beginning in memory, between 0 and 1.
    [[nodiscard]] double hit_probability(prefix_key key, const backend_server_id& server,
                                         time_point now) const;
    /// The server ended, or started anew.
    void forget(const backend_server_id& server);
    void expire(time_point now);

    /// Own readings since the last call, for peers.
    [[nodiscard]] std::vector<cached_prefix> take_updates();
    /// Notes an own reading, which peers are to be told.
    void on_own_prefix_cached(prefix_key key, const backend_server_id& server, time_point now);

private:
    struct entry {
        backend_server_id server;
        time_point cached_at{};
    };
    absl::flat_hash_map<prefix_key, std::vector<entry>> entries_;
    std::vector<cached_prefix> pending_updates_;
};

} // namespace jujubetide
