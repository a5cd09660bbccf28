#pragma once

#include "jujubetide/base/units.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace jujubetide {

enum class engine_fault {
    /// Answers 500 before running.
    fail_before_run,
    /// Answers 503 with a problem whose outcome is `not_run`.
    refuse_not_run,
    /// Ends the stream in good form, but without the end event.
    end_early,
    /// Sends nothing more after `at_piece` pieces, for `delay` or until the attempt is cancelled.
    stall,
    /// Sends the piece twice.
    repeat_piece,
    /// Sends the piece after the one that follows it.
    cross_pieces,
    /// Leaves the piece out.
    skip_piece,
    /// Names another request's attempt in this and all later pieces.
    wrong_attempt,
    /// Sends this and each later piece `delay` late.
    late_pieces,
    /// Closes the connection in the middle of the piece's event.
    tear_piece,
};

struct engine_fault_plan {
    /// Calls that the fault still meets; negative for every call.
    int calls = 1;
    /// Index of the piece within the stream, counted from 0.
    std::size_t at_piece = 2;
    millis delay{0};
};

/// The faults that calls to an engine stand-in meet. Thread-safe.
class standin_engine_faults {
public:
    void set(engine_fault fault, const engine_fault_plan& plan);
    void clear();
    /// The fault's plan where it meets this call.
    [[nodiscard]] std::optional<engine_fault_plan> take(engine_fault fault);

    /// The fault with this name, such as `end_early`.
    static std::optional<engine_fault> parse(const std::string& name);

private:
    std::mutex mutex_;
    std::map<engine_fault, engine_fault_plan> plans_;
};

} // namespace jujubetide
