#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/http/problem.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace jujubetide {

/// The answer is still being made.
struct answer_running {};
struct answer_whole {
    std::string finish_reason;
    token_count prompt_tokens;
    token_count cached_tokens;
};
struct answer_refused {
    problem error;
};
/// Another node goes on with the request.
struct answer_moved {
    endpoint address;
};
/// The caller left; nobody reads the answer.
struct answer_dropped {};

using answer_end =
    std::variant<answer_running, answer_whole, answer_refused, answer_moved, answer_dropped>;

/// The pieces of an answer and its end, between the thread that makes it and those that pass it on.
/// Thread-safe.
class answer_log {
public:
    struct view {
        /// Pieces from the offset asked for on.
        std::vector<std::string> pieces;
        answer_end end;

        [[nodiscard]] bool running() const { return std::holds_alternative<answer_running>(end); }
    };

    explicit answer_log(std::vector<std::string> pieces) : pieces_(std::move(pieces)) {}

    void append(std::string piece);
    /// Sets the end once; later ends are ignored. Returns whether this one was the first.
    bool close(answer_end end);
    /// Waits until there is a piece at `from`, or the end, or `timeout` has passed.
    [[nodiscard]] view wait(piece_offset from, millis timeout) const;
    [[nodiscard]] bool is_closed() const;
    /// Waits for the end; returns whether it came within `timeout`.
    [[nodiscard]] bool wait_closed(millis timeout) const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::string> pieces_;
    answer_end end_;
};

} // namespace jujubetide
