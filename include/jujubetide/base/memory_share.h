#pragma once

#include "jujubetide/base/memory_budget.h"

namespace jujubetide {

/// The bytes that one buffer holds of a budget; given back with the object.
class memory_share final {
public:
    /// The budget must outlive the share.
    memory_share(memory_budget& budget, memory_use use) : budget_(budget), use_(use) {}
    ~memory_share() { force(0); }
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    [[nodiscard]] std::size_t size() const { return size_; }
    /// Whether the share may hold `bytes` now.
    [[nodiscard]] bool fits(std::size_t bytes) const;
    /// Holds `bytes`; returns false and holds as much as before if the budget does not allow it.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Holds `bytes` whatever the budget allows, for bytes that exist already.
    void force(std::size_t bytes);

private:
    memory_budget& budget_;
    memory_use use_;
    std::size_t size_ = 0;
};

} // namespace jujubetide
