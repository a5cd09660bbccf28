#include "jujubetide/edge/periodic_task.h"

#include <utility>

namespace jujubetide {

periodic_task::periodic_task(timer_service& timers, micros period, std::function<void()> function)
    : timers_(timers), function_([work = std::move(function)] {
          work();
          return micros{0};
      }),
      timer_(timers.every(period, micros{0}, [this] { ask(); })), thread_([this] { run(); }) {}

periodic_task::periodic_task(timer_service& timers, std::function<micros()> function)
    : timers_(timers), function_(std::move(function)), asked_(true), thread_([this] { run(); }) {}

periodic_task::~periodic_task() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
    timer_.reset();
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
        const micros wait = function_();
        if (wait > micros{0}) {
            timer_ = timers_.once(wait, [this] { ask(); });
        }
        lock.lock();
    }
}

} // namespace jujubetide
