#pragma once

#include "jujubetide/base/log.h"
#include "jujubetide/request/claim_store.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace jujubetide {

/// Stores the answers of claimed calls in the table, again and again while the table is away, so
/// that an outage does not turn a completed call into an unknown one. Thread-safe.
class answer_keeper {
public:
    /// Answers that wait for the table; with more, the oldest is given up and stays unknown.
    static constexpr std::size_t max_waiting = 10'000;
    static constexpr millis retry_period{1'000};

    answer_keeper(claim_store& claims, log_sink& log);
    ~answer_keeper();
    answer_keeper(const answer_keeper&) = delete;
    answer_keeper& operator=(const answer_keeper&) = delete;

    /// Stores the answer; on failure keeps it for later tries.
    void keep(const claim_query& query, row_version claimed, const stored_answer& answer);
    [[nodiscard]] std::size_t waiting() const;

private:
    struct kept_answer {
        claim_query query;
        row_version claimed;
        stored_answer answer;
    };
    void run();
    bool store(const kept_answer& one);

    claim_store& claims_;
    log_sink& log_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<kept_answer> waiting_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace jujubetide
