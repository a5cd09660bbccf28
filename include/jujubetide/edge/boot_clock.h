#pragma once

#include "jujubetide/base/clock.h"

namespace jujubetide {

/// The host's clock. The monotonic time is CLOCK_BOOTTIME, which counts through suspension.
class boot_clock final : public clock {
protected:
    time_point do_now() const override;
    wall_time do_wall_now() const override;
};

} // namespace jujubetide
