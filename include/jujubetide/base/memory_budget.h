#pragma once

#include "jujubetide/base/reclaimable_memory.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace jujubetide {

/// What buffered bytes belong to.
enum class memory_use {
    /// Calls of callers and their answers.
    traffic,
    /// What the node itself needs to work, such as answers of the store; has a reserve of its own.
    control,
};

/// Limits the bytes that all connections of a process buffer together. Not thread-safe.
class memory_budget final {
public:
    /// A share of traffic may always hold this much.
    static constexpr std::size_t always_allowed_bytes = 4'096;

    memory_budget() = default;
    ~memory_budget() = default;
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// No limit until this is called.
    void set_limit(std::size_t bytes) { limit_ = bytes; }
    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t used() const { return used_; }
    /// Number of shares that were not allowed to grow.
    [[nodiscard]] std::uint64_t refusals() const { return refusals_; }
    /// Whether a share that holds `held` bytes may hold `wanted`. Shares of traffic may each hold
    /// as much as is free, so that the largest ones are refused first.
    [[nodiscard]] bool allows(memory_use use, std::size_t held, std::size_t wanted) const;
    /// The most that all shares of traffic may hold together.
    [[nodiscard]] std::size_t traffic_limit() const;

    /// Memory that may be reclaimed, until it is removed.
    void add(reclaimable_memory& memory) { reclaimable_.push_back(&memory); }
    void remove(const reclaimable_memory& memory) { std::erase(reclaimable_, &memory); }
    /// Reclaims memory in the order of `eviction_order` until traffic that holds `held` bytes may
    /// hold `wanted`. Returns false if that takes the memory of `asker` itself.
    [[nodiscard]] bool make_room(const reclaimable_memory& asker, std::size_t held,
                                 std::size_t wanted, time_point now);
    /// Number of times that memory was reclaimed.
    [[nodiscard]] std::uint64_t reclaims() const { return reclaims_; }

private:
    friend class memory_share;

    [[nodiscard]] std::size_t free_bytes(memory_use use) const;
    [[nodiscard]] reclaimable_memory* first_to_reclaim(time_point now) const;

    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    std::size_t used_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t reclaims_ = 0;
    std::vector<reclaimable_memory*> reclaimable_;
};

} // namespace jujubetide
