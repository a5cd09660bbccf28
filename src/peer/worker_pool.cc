#include "peer/worker_pool.h"

#include <utility>

namespace jujubetide {

worker_pool::worker_pool(std::size_t threads, std::size_t max_waiting) : max_waiting_(max_waiting) {
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool() {
    stop();
}

bool worker_pool::post(task function) {
    {
        const std::lock_guard lock(mutex_);
        if (stopping_ || waiting_.size() >= max_waiting_) {
            return false;
        }
        waiting_.push_back(std::move(function));
    }
    changed_.notify_one();
    return true;
}

void worker_pool::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        waiting_.clear();
    }
    changed_.notify_all();
    for (std::thread& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void worker_pool::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        if (stopping_) {
            return;
        }
        const task next = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        next();
        lock.lock();
    }
}

} // namespace jujubetide
