#pragma once

#include "jujubetide/base/units.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jujubetide {

/// Calls a function again and again on a thread of its own; for work that blocks, which timers may
/// not do.
class periodic_thread {
public:
    /// `function` returns the time until its next call.
    explicit periodic_thread(std::function<micros()> function);
    /// Waits for a running call.
    ~periodic_thread();
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

private:
    void run();

    std::function<micros()> function_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jujubetide
