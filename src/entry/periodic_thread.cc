#include "entry/periodic_thread.h"

namespace jujubetide {

periodic_thread::periodic_thread(std::function<micros()> function)
    : function_(std::move(function)), thread_([this] { run(); }) {}

periodic_thread::~periodic_thread() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    thread_.join();
}

void periodic_thread::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        const micros delay = function_();
        lock.lock();
        stopped_.wait_for(lock, delay, [this] { return stopping_; });
    }
}

} // namespace jujubetide
