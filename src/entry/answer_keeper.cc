#include "entry/answer_keeper.h"

#include "entry/entry_events.h"

namespace jujubetide {

answer_keeper::answer_keeper(claim_store& claims, log_sink& log)
    : claims_(claims), log_(log), thread_([this] { run(); }) {}

answer_keeper::~answer_keeper() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void answer_keeper::keep(const claim_query& query, row_version claimed,
                         const stored_answer& answer) {
    kept_answer one{query, claimed, answer};
    if (store(one)) {
        return;
    }
    log_.write(answer_not_stored, {{"claimant", query.claimant.str()}});
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(one));
        if (waiting_.size() > max_waiting) {
            waiting_.pop_front();
        }
    }
    changed_.notify_all();
}

std::size_t answer_keeper::waiting() const {
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

bool answer_keeper::store(const kept_answer& one) {
    return claims_.store(one.query, one.claimed, one.answer);
}

void answer_keeper::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        changed_.wait_for(lock, retry_period, [this] { return stopping_; });
        while (!stopping_ && !waiting_.empty()) {
            const kept_answer one = waiting_.front();
            lock.unlock();
            const bool stored = store(one);
            lock.lock();
            if (!stored) {
                break;
            }
            if (!waiting_.empty() && waiting_.front().query.claimant == one.query.claimant) {
                waiting_.pop_front();
            }
        }
    }
}

} // namespace jujubetide
