#pragma once

#include "jujubetide/platform/table.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace jujubetide {

/// A table whose calls fail as a test says. Not thread-safe.
class faulty_table final : public table {
public:
    explicit faulty_table(table& wrapped) : wrapped_(wrapped) {}

    /// Every call is refused; nothing is applied.
    bool down = false;
    /// So many further reads of a key fail.
    int failed_reads = 0;
    /// The replies of so many further commits are lost after they took effect.
    int lost_commit_replies = 0;
    /// So many further commits get no reply and wait until `deliver_late_commits`.
    int late_commits = 0;
    /// Runs before each commit.
    std::function<void()> before_commit = [] {};

    void deliver_late_commits() {
        for (const table_transaction& transaction : std::exchange(late_, {})) {
            (void)wrapped_.commit(transaction);
        }
    }

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override {
        if (down || failed_reads > 0) {
            failed_reads = std::max(0, failed_reads - 1);
            return absl::UnavailableError("down");
        }
        return wrapped_.get(key);
    }
    absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) override {
        if (down) {
            return absl::UnavailableError("down");
        }
        return wrapped_.scan(prefix, after, limit);
    }
    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override {
        const auto hook = before_commit; // A copy, since the hook may replace itself.
        hook();
        if (down) {
            return absl::UnavailableError("down");
        }
        if (late_commits > 0) {
            --late_commits;
            late_.push_back(transaction);
            return absl::DeadlineExceededError("the commit is late");
        }
        auto version = wrapped_.commit(transaction);
        if (version.ok() && lost_commit_replies > 0) {
            --lost_commit_replies;
            return absl::DeadlineExceededError("the reply was lost");
        }
        return version;
    }

private:
    table& wrapped_;
    std::vector<table_transaction> late_;
};

} // namespace jujubetide
