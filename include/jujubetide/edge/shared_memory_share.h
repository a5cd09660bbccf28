#pragma once

#include "jujubetide/base/memory_share.h"
#include "jujubetide/edge/shared_memory_budget.h"

#include <cstddef>
#include <optional>

namespace jujubetide {

/// The bytes that one buffer holds of a shared budget; given back with the object. To be used by
/// one thread at a time.
class shared_memory_share final {
public:
    explicit shared_memory_share(memory_use use,
                                 shared_memory_budget& budget = shared_memory_budget::of_process());
    ~shared_memory_share();
    shared_memory_share(const shared_memory_share&) = delete;
    shared_memory_share& operator=(const shared_memory_share&) = delete;

    /// Holds `bytes`; returns false and holds as much as before if the budget does not allow it.
    [[nodiscard]] bool resize(std::size_t bytes);

private:
    shared_memory_budget& budget_;
    /// Created and destroyed under the budget's lock.
    std::optional<memory_share> share_;
};

} // namespace jujubetide
