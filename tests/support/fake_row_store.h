#pragma once

#include "jujubetide/base/timer_service.h"
#include "jujubetide/store/row_store.h"

#include <absl/status/status.h>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// A store of rows in memory, on a test's timers. Calls end only when the timers run.
class fake_row_store final : public row_store {
public:
    explicit fake_row_store(timer_service& timers) : timers_(timers) {}

    /// What every call gets until it is set to OK again; waiting calls get it at once.
    void set_failure(absl::Status failure) {
        failure_ = std::move(failure);
        if (!failure_.ok()) {
            const std::list<waiting_call> calls = std::exchange(waiting_, {});
            for (const waiting_call& call : calls) {
                answer([handler = call.handler, failed = failure_] { handler(failed); });
            }
        }
    }
    /// Commits are applied, but their answers are lost.
    void set_lose_answers(bool lose) { lose_answers_ = lose; }
    /// Later calls are carried out at once and answered after `delay`.
    void set_answer_delay(micros delay) { answer_delay_ = delay; }
    void forget_history() { history_from_ = version_; }
    /// Refuses all reads of changes after versions before `from`, and cuts those that wait.
    void forget_history_at(row_version from) {
        history_from_ = from.value();
        const std::list<waiting_call> calls = std::exchange(waiting_, {});
        for (const waiting_call& call : calls) {
            answer([handler = call.handler] { handler(absl::OutOfRangeError("history is gone")); });
        }
    }
    /// Reads show the state of the copy.
    void set_stale_reads(bool stale) { reads_are_stale_ = stale; }
    void set_first_era(store_era era) { era_ = era; }
    /// Keeps a copy of all rows, for `restore`.
    void take_copy() { copy_ = {tables_, changes_, version_}; }
    /// Goes back to the copy, in a new era. Calls that wait are cut off.
    void restore() {
        const absl::Status failure = std::exchange(failure_, absl::OkStatus());
        set_failure(absl::DeadlineExceededError("the connection was closed"));
        failure_ = failure;
        tables_ = copy_.tables;
        changes_ = copy_.changes;
        version_ = copy_.version;
        era_ = era_.next();
    }
    /// Whether calls wait for changes of the table.
    [[nodiscard]] bool is_followed(const std::string& table) const {
        return std::any_of(waiting_.begin(), waiting_.end(),
                           [&](const waiting_call& call) { return call.table == table; });
    }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        row_transaction transaction;
        transaction.puts.push_back({table, key, value});
        apply(transaction);
    }
    void remove(const std::string& table, const std::string& key) {
        row_transaction transaction;
        transaction.removals.push_back({table, key});
        apply(transaction);
    }
    [[nodiscard]] std::map<std::string, stored_row> rows(const std::string& table) const {
        const auto found = tables_.find(table);
        return found == tables_.end() ? std::map<std::string, stored_row>() : found->second;
    }
    int reads = 0;
    int change_calls = 0;
    std::map<std::string, int> change_calls_of_table;
    int commits = 0;

protected:
    [[nodiscard]] std::optional<store_era> do_era() const override { return answered_era_; }
    void do_read(const std::string& table, const std::string& from,
                 batch_handler handler) override {
        ++reads;
        if (!failure_.ok()) {
            answer([handler, failed = failure_] { handler(failed); });
            return;
        }
        row_batch batch = empty_batch();
        auto& tables = reads_are_stale_ ? copy_.tables : tables_;
        if (reads_are_stale_) {
            batch.version = row_version(copy_.version);
        }
        for (const auto& [key, row] : tables[table]) {
            if (key >= from) {
                batch.rows.push_back(row);
            }
        }
        answer([handler, batch] { handler(batch); });
    }
    void do_changes(const std::string& table, row_version after, millis wait,
                    batch_handler handler) override {
        ++change_calls;
        ++change_calls_of_table[table];
        if (!failure_.ok()) {
            answer([handler, failed = failure_] { handler(failed); });
            return;
        }
        if (after.value() < history_from_ || after.value() > version_) {
            answer([handler] { handler(absl::OutOfRangeError("history is gone")); });
            return;
        }
        row_batch batch = changes_after(table, after);
        if (!batch.rows.empty()) {
            answer([handler, batch] { handler(batch); });
            return;
        }
        waiting_.push_back({table, after, handler});
        const auto call = std::prev(waiting_.end());
        const std::uint64_t number = ++next_call_;
        call->number = number;
        timers_running_.push_back(timers_.once(wait, [this, number] { end_wait(number); }));
    }
    void do_commit(const row_transaction& transaction, commit_handler handler) override {
        ++commits;
        if (!failure_.ok()) {
            answer([handler, failed = failure_] { handler(failed); });
            return;
        }
        for (const row_expectation& one : transaction.expected) {
            const auto& rows = tables_[one.table];
            const auto found = rows.find(one.key);
            const row_version now = found == rows.end() ? row_version() : found->second.version;
            if (now != one.version) {
                answer([handler] { handler(absl::AbortedError("another version")); });
                return;
            }
        }
        apply(transaction);
        if (lose_answers_) {
            answer([handler] { handler(absl::DeadlineExceededError("no answer")); });
            return;
        }
        answer([handler, at = row_version(version_)] { handler(at); });
    }

private:
    struct waiting_call {
        std::string table;
        row_version after;
        batch_handler handler;
        std::uint64_t number = 0;
    };
    struct change {
        std::string table;
        stored_row row;
    };

    struct copy {
        std::map<std::string, std::map<std::string, stored_row>> tables;
        std::vector<change> changes;
        std::uint64_t version = 0;
    };

    void answer(std::function<void()> function) {
        timers_running_.push_back(
            timers_.once(answer_delay_, [this, era = era_, function = std::move(function)] {
                answered_era_ = std::max(answered_era_.value_or(era), era);
                function();
            }));
    }
    [[nodiscard]] row_batch empty_batch() const {
        row_batch batch;
        batch.version = row_version(version_);
        batch.era = era_;
        return batch;
    }
    row_batch changes_after(const std::string& table, row_version after) {
        row_batch batch = empty_batch();
        for (const change& one : changes_) {
            if (one.table == table && one.row.version > after) {
                batch.rows.push_back(one.row);
            }
        }
        return batch;
    }
    void apply(const row_transaction& transaction) {
        ++version_;
        for (const row_put& one : transaction.puts) {
            const stored_row row{one.key, one.value, row_version(version_), false};
            tables_[one.table][one.key] = row;
            changes_.push_back({one.table, row});
        }
        for (const row_removal& one : transaction.removals) {
            if (tables_[one.table].erase(one.key) > 0) {
                changes_.push_back({one.table, {one.key, "", row_version(version_), true}});
            }
        }
        const std::list<waiting_call> calls = std::exchange(waiting_, {});
        for (const waiting_call& call : calls) {
            row_batch batch = changes_after(call.table, call.after);
            if (batch.rows.empty()) {
                waiting_.push_back(call);
            } else {
                answer([handler = call.handler, batch] { handler(batch); });
            }
        }
    }
    void end_wait(std::uint64_t number) {
        for (auto call = waiting_.begin(); call != waiting_.end(); ++call) {
            if (call->number == number) {
                const row_batch batch = empty_batch();
                const batch_handler handler = call->handler;
                waiting_.erase(call);
                handler(batch);
                return;
            }
        }
    }

    timer_service& timers_;
    std::map<std::string, std::map<std::string, stored_row>> tables_;
    std::vector<change> changes_;
    std::list<waiting_call> waiting_;
    std::list<std::unique_ptr<timer_subscription>> timers_running_;
    absl::Status failure_;
    bool lose_answers_ = false;
    micros answer_delay_{millis{1}};
    bool reads_are_stale_ = false;
    std::uint64_t version_ = 0;
    std::uint64_t history_from_ = 0;
    std::uint64_t next_call_ = 0;
    store_era era_{1};
    /// The newest era that an answer has named.
    std::optional<store_era> answered_era_;
    copy copy_;
};

} // namespace jujubetide
