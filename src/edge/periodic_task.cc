#include "jujubetide/edge/periodic_task.h"

#include <utility>

namespace jujubetide {

periodic_task::periodic_task(timer_service& timers, micros period, std::function<void()> function)
    : function_(std::move(function)), thread_([this] { run(); }),
      timer_(timers.every(period, micros{0}, [this] { ask(); })) {}

periodic_task::~periodic_task() {
    timer_.reset();
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void periodic_task::ask() {
    const std::lock_guard lock(mutex_);
    asked_ = true;
    changed_.notify_all();
}

void periodic_task::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return asked_ || stopping_; });
        if (stopping_) {
            return;
        }
        asked_ = false;
        lock.unlock();
        function_();
        lock.lock();
    }
}

} // namespace jujubetide
