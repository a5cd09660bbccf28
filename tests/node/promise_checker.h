#pragma once

#include "jujubetide/base/units.h"

#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// Checks the lines of stand-in processes, as they come, against what callers are promised: an
/// attempt that was answered 408, 421, 429 or 503 does not run, before or after, and one that isn't
/// idempotent runs once at most. An attempt that no caller has sent doesn't run. The first part of
/// an attempt's id is its route.
class promise_checker {
public:
    /// Takes one line of a stand-in's report, which came at `now` of the run.
    void take(const std::string& line, millis now);
    /// What each broken promise is about: the attempt's id, with its rule.
    [[nodiscard]] const std::map<std::string, std::string>& broken() const { return broken_; }
    /// Answers that a caller can tell to be another's, not whole, or not asked for.
    [[nodiscard]] const std::vector<std::string>& mixed() const { return mixed_; }
    /// All that was reported about an attempt.
    [[nodiscard]] std::string history_of(const std::string& id) const;
    /// Final answers by status, 0 for connections that ended.
    [[nodiscard]] const std::map<int, int>& answers() const { return answers_; }
    /// Lines of each kind.
    [[nodiscard]] const std::map<std::string, int>& lines() const { return lines_; }

private:
    struct attempt {
        bool is_sent = false;
        int runs = 0;
        int promise = 0;
        /// Whether an engine has ended the answer with its connection.
        bool is_until_close = false;
        std::vector<std::string> history;
    };

    void check(const std::string& id, const attempt& one);

    std::map<std::string, attempt> attempts_;
    std::map<std::string, std::string> broken_;
    std::vector<std::string> mixed_;
    std::map<int, int> answers_;
    std::map<std::string, int> lines_;
};

} // namespace jujubetide
