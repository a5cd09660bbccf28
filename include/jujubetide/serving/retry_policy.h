#pragma once

#include "jujubetide/serving/serving_config.h"

namespace jujubetide {

/// How an attempt of a call ended without an answer that can be forwarded.
enum class attempt_outcome {
    /// No connection could be established; nothing was sent.
    not_sent,
    /// The server reported that it did not run the call.
    not_run,
    /// A different server now has the address; it did not run the call.
    wrong_server,
    /// The server ran the call and answered with an error.
    error_answer,
    /// The connection was closed or the answer was malformed; the call may have run.
    broken,
    /// The stream began and ended before it was complete.
    broken_midway,
};

/// What the attempts of a call so far have used up.
struct call_progress {
    /// Servers that received the call and may have run it, or refused it as too busy.
    int servers_tried = 0;
    /// Sends that failed before a server received anything, or reached a different server.
    int undelivered_sends = 0;
    /// Whether any attempt may have run.
    bool may_have_run = false;
    /// Whether events of the stream were sent to the caller.
    bool has_begun = false;
};

enum class next_step {
    /// Send to another server.
    resend,
    /// Answer that the call was not run.
    refuse,
    /// Answer that the call failed, and may have run.
    fail,
    /// Forward the server's error unchanged.
    forward_error,
    /// Abort the answer that has begun.
    abort_answer,
};

/// Decides what follows a failed attempt, so that a call that may run at most once does not run
/// twice, and no more servers are tried than the route allows. `within_budget` is consulted only
/// when a resend counts against the service's retries.
class retry_policy {
public:
    /// Undelivered sends after which a call is given up.
    static constexpr int max_undelivered_sends = 4;

    /// Time without an event after which callers abandon a stream.
    static micros caller_patience(const serving_route& route);
    /// Whether a call of the route may be sent again after it may have run.
    static bool can_rerun(const serving_route& route);
    /// The step after `outcome`; `resend` only while `progress` allows another server.
    static next_step decide(const serving_route& route, const call_progress& progress,
                            attempt_outcome outcome);
    /// The step when `decide` returns `resend` but resending is impossible: there is no server or
    /// no time left, or the retry budget is exhausted.
    static next_step fallback_step(const call_progress& progress, attempt_outcome outcome);
};

} // namespace jujubetide
