#pragma once

#include "jujubetide/settings/settings_snapshot.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace jujubetide {

/// Holds the newest accepted settings. The revision never goes down. Thread-safe.
class settings_board {
public:
    using listener = std::function<void(const snapshot_ptr&)>;

    /// The newest snapshot; null until the first one is offered.
    [[nodiscard]] snapshot_ptr current() const;
    /// Takes the snapshot if its revision is higher than the current one; returns whether it did.
    bool offer(snapshot_ptr snapshot);
    /// Calls `function` after each accepted snapshot, on the thread that offered it. Listeners are
    /// added before the board is shared and stay for its life.
    void add_listener(listener function);

private:
    mutable std::mutex mutex_;
    snapshot_ptr current_;
    std::vector<listener> listeners_;
};

} // namespace jujubetide
