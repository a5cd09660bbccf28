#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <vector>

namespace jujubetide {

/// Stable hash of a backend server's id, as the index stores it.
using server_hash = strong_number<struct server_hash_tag>;

/// Where a prompt's prefix is believed to be cached.
struct prefix_holder {
    server_hash server;
    /// Leading blocks of the queried prompt that the server is believed to hold.
    std::size_t blocks = 0;
    /// When that was last confirmed.
    time_point confirmed{};
};

/// Remembers which backend servers hold which prompt prefixes. Knowledge is kept only at block
/// counts that grow by an eighth, so that long prompts cost few entries. Bounded; the entries
/// confirmed longest ago are dropped first. Thread-safe, in shards.
class prefix_index {
public:
    /// Servers remembered for one prefix.
    static constexpr std::size_t max_holders = 4;

    /// `max_entries` bounds the prefixes remembered.
    explicit prefix_index(std::size_t max_entries = 1U << 20U);

    /// The server was sent, or said that it stored, a prompt with these block hashes.
    void record(server_hash server, std::span<const std::uint64_t> block_hashes, time_point now);
    /// The server no longer holds more than `blocks` leading blocks of the prompt.
    void forget_beyond(server_hash server, std::span<const std::uint64_t> block_hashes,
                       std::size_t blocks);
    /// The server stored or dropped the prefix with this hash.
    void on_stored(server_hash server, std::uint64_t prefix_hash, time_point now);
    void on_dropped(server_hash server, std::uint64_t prefix_hash);
    /// The holders of the prompt's longest known prefixes, each server once, deepest first.
    [[nodiscard]] std::vector<prefix_holder>
    find(std::span<const std::uint64_t> block_hashes) const;
    /// A hash that prompts with a long common beginning share: that of the shortest indexed prefix
    /// which is not yet held by `max_holders` servers, so that a beginning common to all prompts of
    /// a service does not count. 0 for a prompt shorter than a block.
    [[nodiscard]] std::uint64_t home_key(std::span<const std::uint64_t> block_hashes) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        server_hash server;
        time_point confirmed{};
    };
    using holders = absl::InlinedVector<entry, 1>;
    struct shard {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, holders> prefixes;
    };
    static constexpr std::size_t shard_count = 16;

    shard& shard_of(std::uint64_t hash) { return shards_[(hash >> 32U) % shard_count]; }
    [[nodiscard]] const shard& shard_of(std::uint64_t hash) const {
        return shards_[(hash >> 32U) % shard_count];
    }
    void drop_oldest(shard& part) const;
    [[nodiscard]] holders holders_of(std::uint64_t prefix_hash) const;

    std::size_t max_per_shard_;
    std::array<shard, shard_count> shards_;
};

} // namespace jujubetide
