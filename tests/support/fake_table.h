#pragma once

#include "jujubetide/platform/table.h"

#include <map>
#include <mutex>
#include <utility>

namespace jujubetide {

/// A table in memory with switches for the faults of the real one. Thread-safe.
class fake_table final : public table {
public:
    /// Whether every call fails with Unavailable.
    void set_down(bool down) {
        const std::lock_guard lock(mutex_);
        down_ = down;
    }
    /// The next commit takes effect, but its reply is lost.
    void lose_next_commit_reply() {
        const std::lock_guard lock(mutex_);
        lose_reply_ = true;
    }
    /// The next commit is lost on its way: no effect and no reply.
    void lose_next_commit() {
        const std::lock_guard lock(mutex_);
        lose_commit_ = true;
    }
    /// While set, reads see the rows as they were when this was set; commits see the truth.
    void set_stale(bool stale) {
        const std::lock_guard lock(mutex_);
        stale_ = stale;
        old_rows_ = rows_;
    }
    /// The next `count` reads see the rows as they were before the last commit.
    void serve_old_reads(int count) {
        const std::lock_guard lock(mutex_);
        old_reads_ = count;
    }
    [[nodiscard]] std::size_t scans() const {
        const std::lock_guard lock(mutex_);
        return scans_;
    }
    [[nodiscard]] std::size_t commits() const {
        const std::lock_guard lock(mutex_);
        return commits_;
    }

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override {
        const std::lock_guard lock(mutex_);
        if (down_) {
            return absl::UnavailableError("table is down");
        }
        const auto& rows = readable();
        const auto found = rows.find(key);
        if (found == rows.end()) {
            return std::optional<table_row>();
        }
        return std::optional<table_row>(found->second);
    }

    absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) override {
        const std::lock_guard lock(mutex_);
        if (down_) {
            return absl::UnavailableError("table is down");
        }
        ++scans_;
        std::vector<table_row> list;
        for (const auto& [key, row] : readable()) {
            if (list.size() < limit && key.starts_with(prefix) && key > after) {
                list.push_back(row);
            }
        }
        return list;
    }

    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override {
        const std::lock_guard lock(mutex_);
        if (down_) {
            return absl::UnavailableError("table is down");
        }
        if (std::exchange(lose_commit_, false)) {
            return absl::DeadlineExceededError("no reply");
        }
        for (const row_condition& condition : transaction.conditions) {
            const auto found = rows_.find(condition.key);
            const row_version version =
                found == rows_.end() ? row_version{} : found->second.version;
            if (version != condition.version) {
                return absl::AbortedError("condition on " + condition.key + " does not hold");
            }
        }
        apply(transaction);
        if (std::exchange(lose_reply_, false)) {
            return absl::DeadlineExceededError("no reply");
        }
        return version_;
    }

private:
    void apply(const table_transaction& transaction) {
        version_ = version_.next();
        ++commits_;
        previous_rows_ = rows_;
        for (const row_write& write : transaction.writes) {
            if (write.value) {
                rows_[write.key] = table_row{write.key, *write.value, version_};
            } else {
                rows_.erase(write.key);
            }
        }
    }
    const std::map<std::string, table_row>& readable() {
        if (old_reads_ > 0) {
            --old_reads_;
            return previous_rows_;
        }
        return stale_ ? old_rows_ : rows_;
    }

    mutable std::mutex mutex_;
    std::map<std::string, table_row> rows_;
    std::map<std::string, table_row> old_rows_;
    std::map<std::string, table_row> previous_rows_;
    int old_reads_ = 0;
    row_version version_;
    std::size_t commits_ = 0;
    std::size_t scans_ = 0;
    bool down_ = false;
    bool lose_reply_ = false;
    bool lose_commit_ = false;
    bool stale_ = false;
};

} // namespace jujubetide
