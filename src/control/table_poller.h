#pragma once

#include "control/control_parts.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/edge/periodic_task.h"

#include <absl/status/status.h>

namespace jujubetide {

/// Reads newer settings and moves from the table onto the boards, on a thread of its own, slowly
/// and with jitter. Until the first settings are read it tries each second.
class table_poller {
public:
    /// All references outlive the poller.
    table_poller(const control_parts& parts, timer_service& timers, random_source& random,
                 millis period);

    /// Reads once, on the caller's thread.
    static absl::Status read(const control_parts& parts);

private:
    /// Reads and returns the time until the next read.
    micros poll();

    const control_parts& parts_;
    random_source& random_;
    millis period_;
    periodic_task task_;
};

} // namespace jujubetide
