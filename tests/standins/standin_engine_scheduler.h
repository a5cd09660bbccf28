#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace jujubetide {

/// What an engine stand-in has run, by id.
struct standin_engine_counters {
    std::map<std::string, int> executions_by_request;
    std::map<std::string, int> executions_by_attempt;
    std::set<std::string> cancelled_attempts;
    std::uint32_t most_running = 0;
};

/// Runs a limited number of attempts at once, the most urgent first, and counts them. Thread-safe.
class standin_engine_scheduler {
public:
    standin_engine_scheduler(const clock& time, std::uint32_t max_running)
        : clock_(time), max_running_(max_running) {
        record_locked();
    }

    /// Counts the execution and waits for a free place. Returns false when the attempt was
    /// cancelled or the engine stops; otherwise `end` must follow.
    bool begin(const engine_request& request, token_count prompt_tokens);
    void end();
    /// Waits for `delay`; returns false when the attempt was cancelled or the engine stops.
    bool wait(const attempt_id& attempt, millis delay);
    void cancel(const attempt_id& attempt);
    /// Ends all waiting.
    void stop();
    void set_max_running(std::uint32_t max_running);

    [[nodiscard]] standin_engine_counters counters() const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t waiting() const;
    /// The load as it was `lag` ago.
    [[nodiscard]] load_report load(millis lag);

private:
    struct waiting_attempt {
        int priority = 0;
        std::uint64_t ticket = 0;
        friend bool operator<(const waiting_attempt& a, const waiting_attempt& b) {
            return a.priority != b.priority ? a.priority > b.priority : a.ticket < b.ticket;
        }
    };
    struct past_load {
        time_point at;
        load_report report;
    };

    [[nodiscard]] bool ended_locked(const attempt_id& attempt) const;
    void record_locked();

    const clock& clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::uint32_t max_running_;
    std::uint32_t running_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::set<waiting_attempt> waiting_;
    token_count waiting_tokens_;
    standin_engine_counters counters_;
    sequence_number reports_;
    std::deque<past_load> past_;
};

} // namespace jujubetide
