#pragma once

#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace jujubetide {

/// A call that waits for its answer, shared by the caller and the loop. Thread-safe.
class pending_call {
public:
    /// Waits for the answer. After the timeout: DeadlineExceeded when the message may have left,
    /// else Unavailable, and it will not leave any more.
    absl::StatusOr<std::string> wait(millis timeout) {
        std::unique_lock lock(mutex_);
        if (changed_.wait_for(lock, timeout, [this] { return result_.has_value(); })) {
            return *result_;
        }
        abandoned_ = true;
        if (submitted_) {
            return absl::DeadlineExceededError("no answer from the peer in time");
        }
        return absl::UnavailableError("not sent to the peer in time");
    }

    void finish(absl::StatusOr<std::string> result) {
        {
            const std::lock_guard lock(mutex_);
            if (!result_) {
                result_ = std::move(result);
            }
        }
        changed_.notify_all();
    }

    /// The message is lost with its connection.
    void fail() {
        const bool submitted = is_submitted();
        finish(submitted ? absl::DeadlineExceededError("the connection ended before the answer")
                         : absl::UnavailableError("the peer cannot be reached"));
    }

    /// Whether the message is to be sent; from now on it counts as sent.
    bool begin() {
        const std::lock_guard lock(mutex_);
        submitted_ = !abandoned_;
        return submitted_;
    }

    [[nodiscard]] bool is_abandoned() const {
        const std::lock_guard lock(mutex_);
        return abandoned_;
    }

private:
    [[nodiscard]] bool is_submitted() const {
        const std::lock_guard lock(mutex_);
        return submitted_;
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<absl::StatusOr<std::string>> result_;
    bool submitted_ = false;
    bool abandoned_ = false;
};

} // namespace jujubetide
