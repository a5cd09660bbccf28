#pragma once

#include "jujubetide/base/timer_service.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace jujubetide {

/// Runs a function that blocks each time that a timer fires, on a thread of its own, since timers'
/// callbacks must not block. The first run begins at once.
class periodic_task {
public:
    /// Runs each `period`. A timer that fires during a run leads to one more. The timers must
    /// outlive the task.
    periodic_task(timer_service& timers, micros period, std::function<void()> function);
    /// Runs again as long after the end of a run as `function` returns.
    periodic_task(timer_service& timers, std::function<micros()> function);
    /// Waits for a run that is under way.
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

private:
    void ask();
    void run();

    timer_service& timers_;
    /// Returns the time until the next run; zero where `timer_` fires by itself.
    std::function<micros()> function_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool asked_ = false;
    bool stopping_ = false;
    /// Set by the constructor, then by the thread only.
    std::unique_ptr<timer_subscription> timer_;
    std::thread thread_;
};

} // namespace jujubetide
