#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubetide {

/// Runs tasks on a fixed number of threads. Thread-safe.
class worker_pool {
public:
    using task = std::function<void()>;

    worker_pool(std::size_t threads, std::size_t max_waiting);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Returns false, without taking the task, when too many wait or the pool has stopped.
    bool post(task function);
    /// Drops the waiting tasks and waits for the running ones.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<task> waiting_;
    std::size_t max_waiting_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace jujubetide
