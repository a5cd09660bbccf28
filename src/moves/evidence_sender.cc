#include "jujubetide/moves/evidence_sender.h"

#include "jujubetide/moves/move_evidence_codec.h"

#include <absl/strings/str_cat.h>

// Reports go to every control node that is not known to be dead: there are few, and only the holder
// of the moves' lease answers, so that no node has to know who that is.

namespace jujubetide {

void evidence_sender::send() {
    for (const version_move& move : parts_.board.moves.all()) {
        const auto report = parts_.selector.report(move.service);
        if (!report) {
            continue;
        }
        const std::string body = encode_evidence_report(*report);
        for (const member& node : parts_.board.members.all()) {
            if (node.role == node_role::control && node.health != member_health::dead) {
                // A report that is lost is repeated by the next one.
                (void)parts_.link.send(node.peer_address, peer_message_kind::move_evidence, body);
            }
        }
    }
}

absl::Status evidence_sender::receive(const peer_message& message) {
    const auto answer = decode_evidence_answer(message.body);
    if (!answer.ok()) {
        return answer.status();
    }
    parts_.selector.confirm(answer->service, answer->move, answer->step, answer->sent_at);
    return absl::OkStatus();
}

std::string evidence_sender::request_rate(const peer_message& message) const {
    return absl::StrCat(parts_.selector.request_rate(service_id(message.body)));
}

} // namespace jujubetide
