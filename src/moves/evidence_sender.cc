#include "jujubetide/moves/evidence_sender.h"

#include "jujubetide/moves/move_evidence_codec.h"

#include <absl/strings/str_cat.h>

// Which control node steers changes with its lease. Each entry reports to the one that last told it
// so; a new holder tells the entries that do not report to it.

namespace jujubetide {

void evidence_sender::send() {
    for (const version_move& move : parts_.board.moves.all()) {
        const auto report = parts_.selector.report(move.service);
        if (!report) {
            continue;
        }
        const auto steering = steering_.get(move.service);
        const auto node = steering ? parts_.board.members.find(*steering) : std::nullopt;
        if (node && node->health != member_health::dead) {
            // A report that is lost is repeated by the next one.
            (void)parts_.link.send(node->peer_address, peer_message_kind::move_evidence,
                                   encode_evidence_report(*report));
        }
    }
}

absl::Status evidence_sender::receive(const peer_message& message) {
    const auto answer = decode_evidence_answer(message.body);
    if (!answer.ok()) {
        return answer.status();
    }
    steering_.update(answer->service, [&answer](node_id& node) { node = answer->steering; });
    if (answer->sent_at) {
        parts_.selector.confirm(answer->service, answer->move, answer->step, *answer->sent_at);
    }
    return absl::OkStatus();
}

std::string evidence_sender::request_rate(const peer_message& message) const {
    return absl::StrCat(parts_.selector.request_rate(service_id(message.body)));
}

} // namespace jujubetide
