#pragma once

#include <chrono>
#include <thread>

namespace jujubetide {

/// Waits until `condition()` holds; false when it does not within a limit that only a hang reaches.
template <class Condition>
bool eventually(Condition condition, std::chrono::seconds limit = std::chrono::seconds(60)) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace jujubetide
