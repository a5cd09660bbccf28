#pragma once

#include "jujubetide/base/units.h"

namespace jujubetide {

/// Source of time. Thread-safe.
class clock {
public:
    virtual ~clock() = default;
    /// The monotonic time; counts through suspension of the host.
    [[nodiscard]] time_point now() const { return do_now(); }
    /// The civil time; may jump.
    [[nodiscard]] wall_time wall_now() const { return do_wall_now(); }

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
    virtual time_point do_now() const = 0;
    virtual wall_time do_wall_now() const = 0;
};

} // namespace jujubetide
