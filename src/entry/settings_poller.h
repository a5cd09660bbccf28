#pragma once

#include "entry/entry_parts.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/settings/settings_store.h"

#include <functional>

namespace jujubetide {

/// Reads newer settings from the table, slowly and with jitter once there are some; until then, and
/// while nothing was ever declared, each second. Peers bring changes faster.
class settings_poller {
public:
    static constexpr millis first_load_period{1'000};

    /// All references outlive the poller. `on_loaded` is called after each successful read.
    settings_poller(entry_parts& parts, random_source& random, millis period,
                    std::function<void()> on_loaded);

private:
    micros poll();
    absl::Status load();

    entry_parts& parts_;
    random_source& random_;
    millis period_;
    std::function<void()> on_loaded_;
    settings_store store_;
    periodic_task task_;
};

} // namespace jujubetide
