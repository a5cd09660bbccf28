// A prompt's blocks are hashed in a chain, so the hash at block n stands for the whole prefix. Only
// some block counts are indexed: 1 to 8, then each an eighth larger. A prefix is thus known to
// within an eighth of its length, at about 40 entries for the longest prompt.
#include "jujubetide/routing/prefix_index.h"

#include "jujubetide/routing/prompt_blocks.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Entries looked at when room is made in a shard.
constexpr std::size_t eviction_sample = 8;

std::vector<std::size_t> make_levels() {
    std::vector<std::size_t> levels;
    for (std::size_t blocks = 1; blocks <= max_prompt_blocks;
         blocks += std::max<std::size_t>(1, blocks / 8)) {
        levels.push_back(blocks);
    }
    return levels;
}

const std::vector<std::size_t>& indexed_levels() {
    static const std::vector<std::size_t> levels = make_levels();
    return levels;
}

/// Indexed block counts that the prompt reaches.
std::size_t level_count(std::span<const std::uint64_t> block_hashes) {
    const std::vector<std::size_t>& levels = indexed_levels();
    const auto end = std::upper_bound(levels.begin(), levels.end(), block_hashes.size());
    return static_cast<std::size_t>(end - levels.begin());
}

/// Index of the first level for whose block count `holds` is true, or the number of levels. A
/// prefix's holders are a subset of those of its own prefixes, so a binary search finds it.
template <class Predicate>
std::size_t first_level(std::span<const std::uint64_t> block_hashes, Predicate&& holds) {
    const std::vector<std::size_t>& levels = indexed_levels();
    const auto end = levels.begin() + static_cast<std::ptrdiff_t>(level_count(block_hashes));
    const auto first = std::partition_point(levels.begin(), end,
                                            [&](std::size_t blocks) { return !holds(blocks); });
    return static_cast<std::size_t>(first - levels.begin());
}

} // namespace

prefix_index::prefix_index(std::size_t max_entries)
    : max_per_shard_(std::max<std::size_t>(1, max_entries / shard_count)) {}

void prefix_index::record(server_hash server, std::span<const std::uint64_t> block_hashes,
                          time_point now) {
    for (const std::size_t blocks : indexed_levels()) {
        if (blocks > block_hashes.size()) {
            return;
        }
        on_stored(server, block_hashes[blocks - 1], now);
    }
}

void prefix_index::forget_beyond(server_hash server, std::span<const std::uint64_t> block_hashes,
                                 std::size_t blocks) {
    for (const std::size_t level : indexed_levels()) {
        if (level > block_hashes.size()) {
            return;
        }
        if (level > blocks) {
            on_dropped(server, block_hashes[level - 1]);
        }
    }
}

void prefix_index::on_stored(server_hash server, std::uint64_t prefix_hash, time_point now) {
    shard& part = shard_of(prefix_hash);
    const std::lock_guard lock(part.mutex);
    if (part.prefixes.size() >= max_per_shard_ && !part.prefixes.contains(prefix_hash)) {
        drop_oldest(part);
    }
    holders& known = part.prefixes[prefix_hash];
    for (entry& one : known) {
        if (one.server == server) {
            one.confirmed = std::max(one.confirmed, now);
            return;
        }
    }
    if (known.size() < max_holders) {
        known.push_back({server, now});
        return;
    }
    const auto oldest =
        std::min_element(known.begin(), known.end(),
                         [](const entry& a, const entry& b) { return a.confirmed < b.confirmed; });
    *oldest = {server, now};
}

void prefix_index::on_dropped(server_hash server, std::uint64_t prefix_hash) {
    shard& part = shard_of(prefix_hash);
    const std::lock_guard lock(part.mutex);
    const auto found = part.prefixes.find(prefix_hash);
    if (found == part.prefixes.end()) {
        return;
    }
    holders& known = found->second;
    known.erase(std::remove_if(known.begin(), known.end(),
                               [server](const entry& one) { return one.server == server; }),
                known.end());
    if (known.empty()) {
        part.prefixes.erase(found);
    }
}

prefix_index::holders prefix_index::holders_of(std::uint64_t prefix_hash) const {
    const shard& part = shard_of(prefix_hash);
    const std::lock_guard lock(part.mutex);
    const auto known = part.prefixes.find(prefix_hash);
    return known == part.prefixes.end() ? holders{} : known->second;
}

std::vector<prefix_holder> prefix_index::find(std::span<const std::uint64_t> block_hashes) const {
    const std::size_t unknown = first_level(block_hashes, [&](std::size_t blocks) {
        return holders_of(block_hashes[blocks - 1]).empty();
    });
    std::vector<prefix_holder> found;
    for (std::size_t level = unknown; level > 0 && found.size() < max_holders; --level) {
        const std::size_t blocks = indexed_levels()[level - 1];
        for (const entry& one : holders_of(block_hashes[blocks - 1])) {
            const bool is_new =
                std::none_of(found.begin(), found.end(), [&one](const prefix_holder& earlier) {
                    return earlier.server == one.server;
                });
            if (is_new) {
                found.push_back({one.server, blocks, one.confirmed});
            }
        }
    }
    return found;
}

std::uint64_t prefix_index::home_key(std::span<const std::uint64_t> block_hashes) const {
    if (block_hashes.empty()) {
        return 0;
    }
    const std::size_t level = first_level(block_hashes, [&](std::size_t blocks) {
        return holders_of(block_hashes[blocks - 1]).size() < max_holders;
    });
    const std::size_t last = level_count(block_hashes) - 1;
    return block_hashes[indexed_levels()[std::min(level, last)] - 1];
}

std::size_t prefix_index::size() const {
    std::size_t total = 0;
    for (const shard& part : shards_) {
        const std::lock_guard lock(part.mutex);
        total += part.prefixes.size();
    }
    return total;
}

void prefix_index::drop_oldest(shard& part) const {
    auto victim = part.prefixes.begin();
    auto next = victim;
    for (std::size_t i = 0; i < eviction_sample && next != part.prefixes.end(); ++i, ++next) {
        if (next->second.front().confirmed < victim->second.front().confirmed) {
            victim = next;
        }
    }
    if (victim != part.prefixes.end()) {
        part.prefixes.erase(victim);
    }
}

} // namespace jujubetide
