#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/eviction_order.h"

namespace jujubetide {

/// Holds memory of a budget that it can give back at once.
class reclaimable_memory {
public:
    virtual ~reclaimable_memory() = default;
    [[nodiscard]] unfinished_request held(time_point now) const { return do_held(now); }
    /// Gives the memory back and leaves the budget's list.
    void reclaim() { do_reclaim(); }

protected:
    reclaimable_memory() = default;
    reclaimable_memory(const reclaimable_memory&) = default;
    reclaimable_memory& operator=(const reclaimable_memory&) = default;
    [[nodiscard]] virtual unfinished_request do_held(time_point now) const = 0;
    virtual void do_reclaim() = 0;
};

} // namespace jujubetide
