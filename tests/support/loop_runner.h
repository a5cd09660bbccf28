#pragma once

#include "jujubetide/net/event_loop.h"

#include <chrono>
#include <functional>

namespace jujubetide {

/// Runs the loop until `condition()` has held; false when it does not within a limit that only a
/// hang reaches.
inline bool run_until(event_loop& loop, const std::function<bool()>& condition,
                      micros limit = std::chrono::seconds(30)) {
    bool holds = condition();
    const auto looking = loop.every(millis{1}, millis{0}, [&] {
        // The loop may call this again before it stops.
        holds = holds || condition();
        if (holds) {
            loop.stop();
        }
    });
    const auto giving_up = loop.once(limit, [&loop] { loop.stop(); });
    if (!holds) {
        loop.run();
    }
    return holds;
}

/// Runs the loop for a time.
inline void run_for(event_loop& loop, micros duration) {
    const auto end = loop.once(duration, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace jujubetide
