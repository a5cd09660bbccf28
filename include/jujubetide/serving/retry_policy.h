#pragma once

#include "jujubetide/serving/serving_config.h"

namespace jujubetide {

/// How one attempt of a call ended without an answer that can be passed on.
enum class attempt_outcome {
    /// No connection came about; nothing was sent.
    not_sent,
    /// The server says that it did not run the call.
    not_run,
    /// Another server has the address; it did not run the call.
    wrong_server,
    /// The server ran the call and answered with an error.
    error_answer,
    /// The connection ended, or the answer made no sense; the call may have run.
    broken,
    /// The stream ended after it had begun, before it was whole.
    broken_midway,
};

/// What a call has used up so far.
struct call_progress {
    /// Servers that got the call and may have run it, or refused it as too busy.
    int servers_tried = 0;
    /// Sends that failed before a server got anything, or met another server.
    int undelivered_sends = 0;
    /// Some attempt may have run.
    bool may_have_run = false;
    /// Events of the stream went to the caller.
    bool has_begun = false;
};

enum class next_step {
    /// Send to another server.
    resend,
    /// Answer that the call has not run.
    refuse,
    /// Answer that the call failed, and may have run.
    fail,
    /// Pass the error that the server gave on as it is.
    forward_error,
    /// Break the begun answer off.
    abort_answer,
};

/// Decides what follows a failed attempt, so that a call that may run once only does, and no server
/// is tried more often than the route allows. `within_budget` is asked only when a resend counts
/// against the service's retries.
class retry_policy {
public:
    /// Sends without any effect after which a call is given up.
    static constexpr int max_undelivered_sends = 4;

    /// Whether a call of the route may run again after it may have run.
    static bool can_rerun(const serving_route& route);
    /// The step after `outcome`; `resend` only while `progress` allows another server.
    static next_step decide(const serving_route& route, const call_progress& progress,
                            attempt_outcome outcome);
    /// The step when `decide` says `resend` but that is impossible now: no server, no time left, or
    /// the retry budget is used up.
    static next_step fallback_step(const call_progress& progress, attempt_outcome outcome);
};

} // namespace jujubetide
