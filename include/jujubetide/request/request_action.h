#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/request/attempt_ledger.h"

#include <string>
#include <variant>
#include <vector>

namespace jujubetide {

enum class refusal_cause {
    /// No backend server can take the request.
    no_server,
    deadline,
    /// The attempts failed and no further one is allowed.
    failed,
};

/// Choose a server and report it, or that there is none.
struct choose_server {
    failure_domain_id avoid_domain;
    std::vector<backend_server_id> tried;
};
/// Come back after the delay; no server can go on with the answer now.
struct wait_for_server {
    millis delay{0};
};
/// Send the attempt; its answer begins at `start`.
struct start_attempt {
    attempt_id attempt;
    backend_server_id server;
    piece_offset start;
};
/// The attempt is over. `cancel` when the server may still work on it.
struct end_attempt {
    attempt_id attempt;
    attempt_end end = attempt_end::completed;
    bool cancel = false;
};
/// Pass the piece on to the caller.
struct deliver_piece {
    piece_offset offset;
    std::string text;
};
/// Tell the caller that the answer is whole.
struct finish_answer {
    piece_offset total;
    std::string finish_reason;
};
/// Give the caller its final answer now.
struct refuse_request {
    refusal_cause cause = refusal_cause::failed;
    /// Whether an attempt may have run; otherwise none did.
    bool may_have_run = false;
    millis retry_after{0};
};
/// Hand the request to a peer and report whether one took it.
struct hand_over_request {};
/// Tell the caller where the request is now.
struct tell_moved {};

using request_action =
    std::variant<choose_server, wait_for_server, start_attempt, end_attempt, deliver_piece,
                 finish_answer, refuse_request, hand_over_request, tell_moved>;
/// To be carried out in order.
using request_actions = std::vector<request_action>;

} // namespace jujubetide
