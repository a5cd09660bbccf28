#pragma once

#include "control/control_parts.h"

#include "jujubetide/base/random_source.h"

#include <absl/status/status.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace jujubetide {

/// Reads newer settings and moves from the table onto the boards, on a thread of its own, slowly
/// and with jitter. Until the first settings are read it tries each second.
class table_poller {
public:
    /// All references outlive the poller.
    table_poller(const control_parts& parts, random_source& random, millis period);
    ~table_poller();
    table_poller(const table_poller&) = delete;
    table_poller& operator=(const table_poller&) = delete;

    /// Reads once, on the caller's thread.
    static absl::Status read(const control_parts& parts);

private:
    void run();
    [[nodiscard]] micros next_wait();

    const control_parts& parts_;
    random_source& random_;
    millis period_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jujubetide
