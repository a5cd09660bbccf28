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

/// Hash of a prompt prefix, over all of its parts.
using prefix_key = strong_number<struct prefix_key_tag>;

/// A prefix of a prompt that ends with one of its parts.
struct prompt_prefix {
    prefix_key key;
    std::uint64_t tokens = 0;
};

/// The prefixes of a prompt that other calls may share: all but the whole prompt, shortest first.
std::vector<prompt_prefix> shared_prefixes(std::span<const prompt_part> parts);

/// A prefix that a server is expected to have cached, because it was sent a prompt with it.
struct cached_prefix {
    prefix_key key;
    backend_server_id server;
};

/// What a server is expected to have cached of a prompt, in tokens times their probability.
struct expected_cache {
    double tokens = 0.0;
    /// Without those that it may still be prefilling.
    double settled_tokens = 0.0;
};

using expected_caches = absl::flat_hash_map<backend_server_id, expected_cache>;

/// Tracks which prompt prefixes each backend server is likely to have in its cache, from the calls
/// that this node sent and those that peers report. Not thread-safe.
class prefix_cache_tracker {
public:
    /// Older entries are dropped: the server has likely evicted the prefix.
    static constexpr micros retention_time{60'000'000};
    /// Time in which a server that was sent a prefix has prefilled it.
    static constexpr micros settling_time{500'000};

    void on_prefix_cached(prefix_key key, const backend_server_id& server, time_point now);
    /// Estimated probability that the server still has the prefix cached.
    [[nodiscard]] double hit_probability(prefix_key key, const backend_server_id& server,
                                         time_point now) const;
    /// The servers that are expected to have cached some of `prefixes`, shortest first.
    [[nodiscard]] expected_caches expected(std::span<const prompt_prefix> prefixes,
                                           time_point now) const;
    /// Drops all entries of a server that stopped or restarted.
    void forget(const backend_server_id& server);
    void expire(time_point now);

    /// Returns the prefixes recorded by `on_own_prefix_cached` since the last call, for peers.
    [[nodiscard]] std::vector<cached_prefix> take_updates();
    /// Records a prefix of a call that this node sent, which is also reported to peers.
    void on_own_prefix_cached(prefix_key key, const backend_server_id& server, time_point now);

private:
    struct entry {
        backend_server_id server;
        /// When the server was first and last sent the prefix.
        time_point first_at{};
        time_point cached_at{};
    };
    [[nodiscard]] static double probability(const entry& of, time_point now);

    absl::flat_hash_map<prefix_key, std::vector<entry>> entries_;
    std::vector<cached_prefix> pending_updates_;
};

} // namespace jujubetide
