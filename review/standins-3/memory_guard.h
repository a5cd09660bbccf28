// The platform's limit of the memory of a process.
#pragma once

#include "nodes.h"

#include <algorithm>

namespace standin {

/// Watches the memory of a process as the platform does: kills it above its limit.
class memory_guard {
public:
    memory_guard(node& watched, record& to) : node_(watched), record_(to) {
        thread_ = std::thread([this] { watch(); });
    }
    ~memory_guard() {
        stopping_ = true;
        thread_.join();
    }
    memory_guard(const memory_guard&) = delete;
    memory_guard& operator=(const memory_guard&) = delete;
    int ends() const { return ends_; }
    long most_kb() const { return most_kb_; }

private:
    void watch() {
        while (!stopping_) {
            const long peak = node_.peak_kb();
            most_kb_ = std::max<long>(most_kb_, peak);
            const auto ended = node_.take_end();
            if (ended || peak > node::memory_mb * 1024L) {
                ++ends_;
                record_.write(node_.name() +
                              (ended ? " has ended by itself, wait status " + std::to_string(*ended)
                                     : " is killed: " + std::to_string(peak / 1024) +
                                           " MB of memory, allowed are " +
                                           std::to_string(node::memory_mb)));
                node_.kill();
                std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
                node_.start();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    node& node_;
    record& record_;
    std::atomic<int> ends_{0};
    std::atomic<long> most_kb_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace standin
