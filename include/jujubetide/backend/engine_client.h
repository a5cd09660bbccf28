#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

/// One generation sent to one model engine.
struct engine_request {
    attempt_id attempt;
    request_id request;
    version_id version;
    std::string prompt;
    std::uint32_t max_pieces = 0;
    /// The engine sends the pieces from this offset on; those before it count as generated.
    piece_offset start;
    /// The pieces before `start`, joined, so that the engine can go on from them.
    std::string generated;
    /// Larger is more urgent.
    int priority = 0;
    /// Time left until the caller's deadline.
    millis time_left{0};
};

/// One piece of an answer: the token text at an offset.
struct engine_piece {
    attempt_id attempt;
    piece_offset offset;
    std::string text;
};

enum class engine_outcome {
    /// The end mark came: the answer is whole.
    completed,
    /// The engine says that it did not run the request, or it was never reached.
    not_run,
    /// The answer stopped before its end mark.
    interrupted,
    /// The receiver asked to stop.
    cancelled,
};

/// How an attempt ended.
struct engine_result {
    engine_outcome outcome = engine_outcome::interrupted;
    /// Number of pieces in the whole answer, from the end mark; valid when completed.
    piece_offset total;
    std::string finish_reason;
    token_count prompt_tokens;
    token_count cached_tokens;
    /// For `not_run`: the engine's wish for when to come back; zero for none.
    millis retry_after{0};
    std::string error;
};

/// Receives the pieces of one attempt. Its calls come one at a time: those with pieces on the
/// thread that runs the attempt, the others on any thread.
class engine_receiver {
public:
    virtual ~engine_receiver() = default;
    /// Returns whether to go on.
    bool on_piece(const engine_piece& piece) { return do_on_piece(piece); }
    /// Asked while no piece arrives, at least each 100 ms; returns whether to go on. Must not
    /// block.
    bool on_idle() { return do_on_idle(); }

protected:
    engine_receiver() = default;
    engine_receiver(const engine_receiver&) = default;
    engine_receiver& operator=(const engine_receiver&) = default;
    virtual bool do_on_piece(const engine_piece& piece) = 0;
    virtual bool do_on_idle() = 0;
};

/// What an engine reports of itself; it lags behind the truth.
struct load_report {
    /// Grows with each report of one run of the engine.
    sequence_number sequence;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens that wait for their prefill.
    token_count waiting_prompt_tokens;
    std::uint32_t max_running = 0;
    version_id version;
    bool leaving = false;
};

/// A prefix that an engine began or ceased to keep in its cache.
struct cache_event {
    sequence_number sequence;
    /// Hash of the prompt's blocks up to and including this one.
    std::uint64_t prefix_hash = 0;
    bool stored = false;
};

enum class engine_role { mixed, prefill, decode };

/// The state that an engine is ordered to bring about. Repeating an order changes nothing.
struct engine_order {
    lease_id lease;
    fencing_number fencing;
    version_id version;
    engine_role role = engine_role::mixed;
};

/// The calls to model engines. Thread-safe; calls block.
class engine_client {
public:
    virtual ~engine_client() = default;

    /// Runs one attempt and hands its pieces to `receiver`, as they come: they may be late, crossed
    /// or repeated, and the receiver checks them.
    [[nodiscard]] engine_result run(const endpoint& engine, const engine_request& request,
                                    engine_receiver& receiver) {
        return do_run(engine, request, receiver);
    }
    [[nodiscard]] absl::Status cancel(const endpoint& engine, const attempt_id& attempt) {
        return do_cancel(engine, attempt);
    }
    [[nodiscard]] absl::StatusOr<load_report> load(const endpoint& engine) {
        return do_load(engine);
    }
    [[nodiscard]] absl::StatusOr<std::vector<cache_event>> cache_events(const endpoint& engine,
                                                                        sequence_number after) {
        return do_cache_events(engine, after);
    }
    /// FailedPrecondition when the engine has seen a higher fencing number.
    [[nodiscard]] absl::Status order(const endpoint& engine, const engine_order& order) {
        return do_order(engine, order);
    }

protected:
    engine_client() = default;
    engine_client(const engine_client&) = default;
    engine_client& operator=(const engine_client&) = default;
    virtual engine_result do_run(const endpoint& engine, const engine_request& request,
                                 engine_receiver& receiver) = 0;
    virtual absl::Status do_cancel(const endpoint& engine, const attempt_id& attempt) = 0;
    virtual absl::StatusOr<load_report> do_load(const endpoint& engine) = 0;
    virtual absl::StatusOr<std::vector<cache_event>> do_cache_events(const endpoint& engine,
                                                                     sequence_number after) = 0;
    virtual absl::Status do_order(const endpoint& engine, const engine_order& order) = 0;
};

} // namespace jujubetide
