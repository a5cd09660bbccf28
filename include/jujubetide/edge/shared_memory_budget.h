#pragma once

#include "jujubetide/base/memory_budget.h"

#include <mutex>

namespace jujubetide {

/// A `memory_budget` for the threads of a process. Thread-safe.
class shared_memory_budget final {
public:
    shared_memory_budget() = default;
    ~shared_memory_budget() = default;
    shared_memory_budget(const shared_memory_budget&) = delete;
    shared_memory_budget& operator=(const shared_memory_budget&) = delete;

    /// What the HTTP servers and clients of this process buffer together.
    static shared_memory_budget& of_process();

    /// No limit until this is called.
    void set_limit(std::size_t bytes);
    [[nodiscard]] std::size_t limit() const;
    [[nodiscard]] std::size_t used() const;
    /// Number of shares that were not allowed to grow.
    [[nodiscard]] std::uint64_t refusals() const;

private:
    friend class shared_memory_share;

    mutable std::mutex mutex_;
    memory_budget budget_;
};

} // namespace jujubetide
