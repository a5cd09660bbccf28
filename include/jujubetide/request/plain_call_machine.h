#pragma once

#include "jujubetide/backend/plain_client.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/request/attempt_ledger.h"
#include "jujubetide/request/request_machine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide {

enum class plain_step_kind {
    /// Choose a server other than those tried and report it.
    choose,
    /// Send the attempt.
    send,
    /// The server's answer goes to the caller.
    answer,
    refuse,
};

struct plain_step {
    plain_step_kind kind = plain_step_kind::choose;
    attempt_id attempt;
    refusal_cause cause = refusal_cause::failed;
    bool may_have_run = false;
    millis retry_after{0};
};

/// Decides over one call to a plain service. A call that is not idempotent is never sent again
/// once a server may have run it. Not thread-safe.
class plain_call_machine {
public:
    static constexpr std::uint32_t max_attempts = 4;

    /// `send_by` is the last moment at which an attempt may be sent; `retries` must outlive the
    /// machine.
    plain_call_machine(request_id request, bool idempotent, time_point send_by,
                       retry_allowance& retries)
        : idempotent_(idempotent), send_by_(send_by), retries_(retries),
          attempts_(std::move(request)) {}

    plain_step on_begin(time_point now);
    /// `now` must be read immediately before sending: after a pause of the process the step is a
    /// refusal.
    plain_step on_server_chosen(const backend_server_id& server, const failure_domain_id& domain,
                                time_point now);
    plain_step on_no_server(millis retry_after);
    plain_step on_result(plain_outcome outcome, time_point now);

    [[nodiscard]] const attempt_ledger& attempts() const { return attempts_; }

private:
    plain_step choose(time_point now);
    [[nodiscard]] plain_step refuse(refusal_cause cause, millis retry_after) const;

    bool idempotent_;
    time_point send_by_;
    retry_allowance& retries_;
    attempt_ledger attempts_;
};

} // namespace jujubetide
