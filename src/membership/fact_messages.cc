#include "membership/fact_messages.h"

namespace jujubetide::wire {
namespace {

constexpr std::size_t max_id_bytes = 256;
constexpr std::size_t max_evidence_bytes = 4096;
/// Leaves room to refute with higher incarnations.
constexpr std::uint64_t max_incarnation = 1ULL << 62U;

bool valid_id(const std::string& id) {
    return !id.empty() && id.size() <= max_id_bytes;
}

bool valid_optional(const std::string& text) {
    return text.size() <= max_id_bytes;
}

endpoint_record to_wire(const endpoint& address) {
    return {address.address, address.port};
}

endpoint from_wire(const endpoint_record& record) {
    return {record.address, record.port};
}

std::int64_t to_wire(wall_time time) {
    return time.time_since_epoch().count();
}

wall_time wall_from_wire(std::int64_t milliseconds) {
    return wall_time(millis(milliseconds));
}

} // namespace

member_identity_record to_wire(const member_identity& identity) {
    return {identity.node.str(), identity.at.value(), static_cast<std::uint8_t>(identity.health),
            identity.leaving, identity.settings.value()};
}

member_record to_wire(const member& record) {
    return {to_wire(identity_of(record)),
            record.host.str(),
            record.failure_domain.str(),
            record.region.str(),
            static_cast<std::uint8_t>(record.role),
            to_wire(record.peer_address),
            to_wire(record.public_address)};
}

leaving_host_record to_wire(const leaving_host& host) {
    return {host.host.str(), to_wire(host.marked)};
}

move_identity_record to_wire(const move_identity& identity) {
    return {identity.service.str(), identity.move.str(), identity.content_hash};
}

move_record to_wire(const version_move& record) {
    return {record.id.str(),
            record.service.str(),
            record.from.str(),
            record.to.str(),
            to_wire(record.start),
            to_wire(record.due),
            static_cast<std::uint8_t>(record.state),
            record.share,
            record.step.value(),
            record.evidence,
            to_wire(record.ended)};
}

absl::StatusOr<member_identity> from_wire(const member_identity_record& record) {
    if (!valid_id(record.node) || record.at >= max_incarnation ||
        record.health > static_cast<std::uint8_t>(member_health::dead)) {
        return absl::InvalidArgumentError("member identity out of range");
    }
    return member_identity{node_id(record.node), incarnation(record.at),
                           static_cast<member_health>(record.health), record.leaving,
                           revision(record.settings)};
}

absl::StatusOr<member> from_wire(const member_record& record) {
    const absl::StatusOr<member_identity> identity = from_wire(record.identity);
    if (!identity.ok()) {
        return identity.status();
    }
    if (!valid_optional(record.host) || !valid_optional(record.failure_domain) ||
        !valid_optional(record.region) || !valid_optional(record.peer_address.address) ||
        !valid_optional(record.public_address.address) ||
        record.role > static_cast<std::uint8_t>(node_role::control)) {
        return absl::InvalidArgumentError("member record out of range");
    }
    member result;
    result.node = identity->node;
    result.host = host_id(record.host);
    result.failure_domain = failure_domain_id(record.failure_domain);
    result.region = region_id(record.region);
    result.role = static_cast<node_role>(record.role);
    result.peer_address = from_wire(record.peer_address);
    result.public_address = from_wire(record.public_address);
    result.at = identity->at;
    result.health = identity->health;
    result.leaving = identity->leaving;
    result.settings = identity->settings;
    return result;
}

absl::StatusOr<leaving_host> from_wire(const leaving_host_record& record) {
    if (!valid_id(record.host)) {
        return absl::InvalidArgumentError("host id out of range");
    }
    return leaving_host{host_id(record.host), wall_from_wire(record.marked)};
}

absl::StatusOr<move_identity> from_wire(const move_identity_record& record) {
    if (!valid_id(record.service) || !valid_id(record.move)) {
        return absl::InvalidArgumentError("move identity out of range");
    }
    return move_identity{service_id(record.service), move_id(record.move), record.content_hash};
}

absl::StatusOr<version_move> from_wire(const move_record& record) {
    if (!valid_id(record.id) || !valid_id(record.service) || !valid_optional(record.from) ||
        !valid_optional(record.to) || record.evidence.size() > max_evidence_bytes ||
        record.state > static_cast<std::uint8_t>(move_state::taken_back) ||
        !(record.share >= 0.0 && record.share <= 1.0)) {
        return absl::InvalidArgumentError("move record out of range");
    }
    version_move result;
    result.id = move_id(record.id);
    result.service = service_id(record.service);
    result.from = version_id(record.from);
    result.to = version_id(record.to);
    result.start = wall_from_wire(record.start);
    result.due = wall_from_wire(record.due);
    result.state = static_cast<move_state>(record.state);
    result.share = record.share;
    result.step = sequence_number(record.step);
    result.evidence = record.evidence;
    result.ended = wall_from_wire(record.ended);
    return result;
}

} // namespace jujubetide::wire
