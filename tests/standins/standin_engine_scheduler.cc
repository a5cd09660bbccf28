#include "standins/standin_engine_scheduler.h"

#include <algorithm>

namespace jujubetide {

namespace {

constexpr std::size_t max_past_loads = 10'000;

}

bool standin_engine_scheduler::begin(const engine_request& request, token_count prompt_tokens) {
    std::unique_lock lock(mutex_);
    ++counters_.executions_by_request[request.request.str()];
    ++counters_.executions_by_attempt[request.attempt.str()];
    const waiting_attempt mine{request.priority, next_ticket_++};
    waiting_.insert(mine);
    waiting_tokens_ += prompt_tokens;
    record_locked();
    changed_.wait(lock, [&] {
        return ended_locked(request.attempt) ||
               (running_ < max_running_ && waiting_.begin()->ticket == mine.ticket);
    });
    waiting_.erase(mine);
    waiting_tokens_ -= prompt_tokens;
    const bool runs = !ended_locked(request.attempt);
    if (runs) {
        ++running_;
        counters_.most_running = std::max(counters_.most_running, running_);
    }
    record_locked();
    changed_.notify_all();
    return runs;
}

void standin_engine_scheduler::end() {
    const std::lock_guard lock(mutex_);
    --running_;
    record_locked();
    changed_.notify_all();
}

bool standin_engine_scheduler::wait(const attempt_id& attempt, millis delay) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, delay, [&] { return ended_locked(attempt); });
    return !ended_locked(attempt);
}

void standin_engine_scheduler::cancel(const attempt_id& attempt) {
    const std::lock_guard lock(mutex_);
    counters_.cancelled_attempts.insert(attempt.str());
    changed_.notify_all();
}

void standin_engine_scheduler::stop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

void standin_engine_scheduler::set_max_running(std::uint32_t max_running) {
    const std::lock_guard lock(mutex_);
    max_running_ = max_running;
    changed_.notify_all();
}

standin_engine_counters standin_engine_scheduler::counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
}

std::uint32_t standin_engine_scheduler::running() const {
    const std::lock_guard lock(mutex_);
    return running_;
}

std::uint32_t standin_engine_scheduler::waiting() const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::uint32_t>(waiting_.size());
}

load_report standin_engine_scheduler::load(millis lag) {
    const std::lock_guard lock(mutex_);
    const time_point seen = clock_.now() - lag;
    const auto newer = std::find_if(past_.begin() + 1, past_.end(),
                                    [seen](const past_load& load) { return load.at > seen; });
    load_report report = (newer - 1)->report;
    reports_ = reports_.next();
    report.sequence = reports_;
    report.max_running = max_running_;
    return report;
}

bool standin_engine_scheduler::ended_locked(const attempt_id& attempt) const {
    return stopping_ || counters_.cancelled_attempts.contains(attempt.str());
}

void standin_engine_scheduler::record_locked() {
    load_report report;
    report.running = running_;
    report.waiting = static_cast<std::uint32_t>(waiting_.size());
    report.waiting_prompt_tokens = waiting_tokens_;
    past_.push_back({clock_.now(), report});
    if (past_.size() > max_past_loads) {
        past_.pop_front();
    }
}

} // namespace jujubetide
