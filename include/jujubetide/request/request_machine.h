#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/request/answer_assembler.h"
#include "jujubetide/request/attempt_ledger.h"
#include "jujubetide/request/request_action.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

/// Grants retries of one request out of its service's budget.
class retry_allowance {
public:
    virtual ~retry_allowance() = default;
    [[nodiscard]] bool try_spend() { return do_try_spend(); }

protected:
    retry_allowance() = default;
    retry_allowance(const retry_allowance&) = default;
    retry_allowance& operator=(const retry_allowance&) = default;
    virtual bool do_try_spend() = 0;
};

/// How long a request waits before it gives an attempt up.
struct request_timeouts {
    /// For the first piece of an attempt.
    micros first_piece{10'000'000};
    /// Between pieces.
    micros between_pieces{3'000'000};
    /// Between looks for a server that can go on with a begun answer.
    millis no_server_delay{100};
};

/// What a request machine begins with; after a hand-over, what the former node knew.
struct request_start {
    request_id request;
    time_point deadline{};
    /// Pieces of the answer that exist already.
    std::vector<std::string> pieces;
    std::uint32_t next_attempt = 0;
    bool may_have_run = false;
};

/// Decides over the life of one accepted request to a model service. Events in, actions out; the
/// caller carries the actions out in order and reports back. Not thread-safe.
///
/// The answer is passed on piece by piece in order, whatever the engines send, and finished only
/// with an end mark that names as many pieces as were passed on. An attempt that fails is followed
/// by one on another server, in another failure domain where there is one, from the next piece on.
class request_machine {
public:
    /// Attempts of one request at one node, so that no request runs for ever.
    static constexpr std::uint32_t max_attempts = 16;

    /// `retries` must outlive the machine.
    request_machine(request_start start, request_timeouts timeouts, retry_allowance& retries);

    request_actions on_begin(time_point now);
    request_actions on_server_chosen(const backend_server_id& server,
                                     const failure_domain_id& domain, time_point now);
    /// Answers `choose_server`: none can take the request; one may in `retry_after`.
    request_actions on_no_server(millis retry_after, time_point now);
    /// Answers `wait_for_server`: the delay has passed.
    request_actions on_waited(time_point now);
    request_actions on_piece(const engine_piece& piece, time_point now);
    /// The engine's own word on how the attempt ended; ignored for attempts that are over.
    request_actions on_attempt_ended(const attempt_id& attempt, const engine_result& result,
                                     time_point now);
    /// To be called at least each 100 ms.
    request_actions on_tick(time_point now);
    /// The server's host is leaving; `other_available` when another server can go on.
    request_actions on_server_leaving(bool other_available, time_point now);
    request_actions on_caller_gone();
    /// This node stops: the request goes to a peer.
    request_actions on_hand_over();
    request_actions on_hand_over_acked();
    request_actions on_hand_over_failed(time_point now);

    /// Whether the request has its outcome; no action follows.
    [[nodiscard]] bool is_over() const { return state_ == state::over; }
    [[nodiscard]] bool is_running() const { return state_ == state::running; }
    [[nodiscard]] const answer_assembler& answer() const { return answer_; }
    [[nodiscard]] const attempt_ledger& attempts() const { return attempts_; }

private:
    enum class state { choosing, waiting, running, handing_over, over };

    request_actions choose(time_point now);
    request_actions retry_after(attempt_end end, bool cancel, time_point now);
    [[nodiscard]] bool retry_allowed(bool progressed);
    request_actions refuse(refusal_cause cause, millis retry_after);
    end_attempt close_attempt(attempt_end end, bool cancel);
    /// Whether a server may have worked on the answer, so that waiting for another is worth more
    /// than a refusal.
    [[nodiscard]] bool has_begun() const;

    request_start start_;
    request_timeouts timeouts_;
    retry_allowance& retries_;
    attempt_ledger attempts_;
    answer_assembler answer_;
    state state_ = state::choosing;
    std::uint32_t attempts_here_ = 0;
    piece_offset attempt_start_;
    time_point last_progress_{};
    millis suggested_retry_after_{0};
};

} // namespace jujubetide
