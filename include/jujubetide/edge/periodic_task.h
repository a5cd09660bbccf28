#pragma once

#include "jujubetide/base/timer_service.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace jujubetide {

/// Runs a function that blocks each time that a timer fires, on a thread of its own, since timers'
/// callbacks must not block. A timer that fires during a run leads to one more.
class periodic_task {
public:
    /// The first run begins at once. The timers must outlive the task.
    periodic_task(timer_service& timers, micros period, std::function<void()> function);
    /// Waits for a run that is under way.
    ~periodic_task();
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;

private:
    void ask();
    void run();

    std::function<void()> function_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool asked_ = false;
    bool stopping_ = false;
    std::thread thread_;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
