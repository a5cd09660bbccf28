#pragma once

#include "jujubetide/membership/fact_identity.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Messages as they are sent. Fields are only ever added at the end: a reader leaves those that it
// does not know, and a missing one keeps its default.
namespace jujubetide::wire {

struct member_identity_record {
    std::string node;
    std::uint64_t at = 0;
    std::uint8_t health = 0;
    bool leaving = false;
    std::uint64_t settings = 0;
    MSGPACK_DEFINE(node, at, health, leaving, settings)
};

struct endpoint_record {
    std::string address;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(address, port)
};

struct member_record {
    member_identity_record identity;
    std::string host;
    std::string failure_domain;
    std::string region;
    std::uint8_t role = 0;
    endpoint_record peer_address;
    endpoint_record public_address;
    MSGPACK_DEFINE(identity, host, failure_domain, region, role, peer_address, public_address)
};

struct leaving_host_record {
    std::string host;
    /// Milliseconds since 1970.
    std::int64_t marked = 0;
    MSGPACK_DEFINE(host, marked)
};

struct move_identity_record {
    std::string service;
    std::string move;
    std::uint64_t content_hash = 0;
    MSGPACK_DEFINE(service, move, content_hash)
};

struct move_record {
    std::string id;
    std::string service;
    std::string from;
    std::string to;
    std::int64_t start = 0;
    std::int64_t due = 0;
    std::uint8_t state = 0;
    double share = 0.0;
    std::uint64_t step = 0;
    std::string evidence;
    std::int64_t ended = 0;
    MSGPACK_DEFINE(id, service, from, to, start, due, state, share, step, evidence, ended)
};

/// Kind `heartbeat`.
struct heartbeat_message {
    member_record sender;
    std::uint64_t facts_root = 0;
    /// Asks for a heartbeat in return.
    bool answer_wanted = false;
    MSGPACK_DEFINE(sender, facts_root, answer_wanted)
};

/// Kind `facts`: identities told, bodies asked for, and bodies.
struct facts_message {
    /// The newest revision known at the sender.
    std::uint64_t settings = 0;
    std::vector<member_identity_record> members;
    std::vector<leaving_host_record> hosts;
    std::vector<move_identity_record> moves;
    std::vector<std::string> wanted_members;
    std::vector<std::string> wanted_moves;
    std::vector<member_record> member_bodies;
    std::vector<move_record> move_bodies;
    /// The message holds all that the sender knows in these buckets; what differs is wanted back.
    std::vector<std::uint8_t> complete_buckets;
    MSGPACK_DEFINE(settings, members, hosts, moves, wanted_members, wanted_moves, member_bodies,
                   move_bodies, complete_buckets)

    [[nodiscard]] bool empty() const {
        return members.empty() && hosts.empty() && moves.empty() && wanted_members.empty() &&
               wanted_moves.empty() && member_bodies.empty() && move_bodies.empty() &&
               complete_buckets.empty();
    }
};

/// The newest batches of one collector that a node holds: bit i of `mask` stands for the sequence
/// number `newest - i`.
struct load_stream_record {
    std::uint64_t stream = 0;
    std::uint64_t newest = 0;
    std::uint32_t mask = 0;
    MSGPACK_DEFINE(stream, newest, mask)
};

/// Kind `digest`.
struct digest_message {
    std::vector<std::uint32_t> fact_buckets;
    std::vector<load_stream_record> load_streams;
    MSGPACK_DEFINE(fact_buckets, load_streams)
};

member_identity_record to_wire(const member_identity& identity);
member_record to_wire(const member& record);
leaving_host_record to_wire(const leaving_host& host);
move_identity_record to_wire(const move_identity& identity);
move_record to_wire(const version_move& record);

/// Each returns InvalidArgument where a field is out of its range.
absl::StatusOr<member_identity> from_wire(const member_identity_record& record);
absl::StatusOr<member> from_wire(const member_record& record);
absl::StatusOr<leaving_host> from_wire(const leaving_host_record& record);
absl::StatusOr<move_identity> from_wire(const move_identity_record& record);
absl::StatusOr<version_move> from_wire(const move_record& record);

} // namespace jujubetide::wire
