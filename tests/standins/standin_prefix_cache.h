#pragma once

#include "jujubetide/backend/engine_client.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace jujubetide {

/// A prefix cache of a limited number of prompt blocks, least recently used first out. Not
/// thread-safe.
class standin_prefix_cache {
public:
    explicit standin_prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

    /// Number of leading blocks that are in the cache.
    [[nodiscard]] std::size_t cached_blocks(const std::vector<std::uint64_t>& blocks) const;
    /// Puts the blocks into the cache as the most recently used.
    void store(const std::vector<std::uint64_t>& blocks);
    /// The events after `after`, oldest first.
    [[nodiscard]] std::vector<cache_event> events_after(sequence_number after) const;

private:
    void add_event(std::uint64_t block, bool stored);

    std::size_t max_blocks_;
    std::list<std::uint64_t> by_use_;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    sequence_number last_event_;
    std::vector<cache_event> events_;
};

} // namespace jujubetide
