#include "entry/hand_over.h"

#include "entry/entry_list.h"
#include "membership/message_codec.h"

#include <absl/strings/str_cat.h>
#include <msgpack.hpp>

namespace jujubetide {
namespace {

constexpr millis hand_over_timeout{1'000};
constexpr int tries_at_one_peer = 2;

/// The record in the types of the codec, in the order of the fields on the wire.
struct wire_record {
    std::string request;
    std::string caller_request_id;
    std::string customer;
    std::string service;
    std::string route;
    std::string version;
    std::uint64_t settings = 0;
    std::string model;
    bool chat = false;
    std::string prompt;
    std::uint32_t max_pieces = 0;
    int priority = 0;
    std::int64_t time_left_ms = 0;
    std::vector<std::string> pieces;
    std::uint32_t next_attempt = 0;
    bool may_have_run = false;

    MSGPACK_DEFINE(request, caller_request_id, customer, service, route, version, settings, model,
                   chat, prompt, max_pieces, priority, time_left_ms, pieces, next_attempt,
                   may_have_run)
};

} // namespace

std::string encode(const hand_over_record& record) {
    const wire_record wire{record.request.str(),
                           record.caller_request_id,
                           record.customer.str(),
                           record.service.str(),
                           record.route.str(),
                           record.version.str(),
                           record.settings.value(),
                           record.model,
                           record.chat,
                           record.prompt,
                           record.max_pieces,
                           record.priority,
                           record.time_left.count(),
                           record.pieces,
                           record.next_attempt,
                           record.may_have_run};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<hand_over_record> decode_hand_over(const std::string& bytes) {
    const absl::StatusOr<wire_record> read = wire::decode<wire_record>(bytes);
    if (!read.ok()) {
        return absl::DataLossError(
            absl::StrCat("not a hand-over record: ", read.status().message()));
    }
    const wire_record& wire = *read;
    return hand_over_record{request_id(wire.request),
                            wire.caller_request_id,
                            customer_id(wire.customer),
                            service_id(wire.service),
                            route_id(wire.route),
                            version_id(wire.version),
                            revision(wire.settings),
                            wire.model,
                            wire.chat,
                            wire.prompt,
                            wire.max_pieces,
                            wire.priority,
                            millis(wire.time_left_ms),
                            wire.pieces,
                            wire.next_attempt,
                            wire.may_have_run};
}

absl::StatusOr<endpoint> hand_over(entry_parts& parts, const entry_identity& self,
                                   const hand_over_record& record) {
    const std::string body = encode(record);
    for (const member& peer : hand_over_targets(parts.boards.members, self, record.request)) {
        for (int i = 0; i < tries_at_one_peer; ++i) {
            const absl::StatusOr<std::string> answer = parts.peers.call(
                peer.peer_address, peer_message_kind::handover, body, hand_over_timeout);
            if (answer.ok()) {
                return peer.public_address;
            }
            if (!absl::IsDeadlineExceeded(answer.status())) {
                break;
            }
        }
    }
    return absl::UnavailableError("no peer took the request");
}

} // namespace jujubetide
