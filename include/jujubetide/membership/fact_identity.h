#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/member_board.h"
#include "jujubetide/blackboard/move_board.h"

#include <compare>
#include <cstdint>
#include <string>

namespace jujubetide {

enum class fact_kind : std::uint8_t { member, leaving_host, move };

/// Names a flooded fact: a node, a leaving host, or the move of a service.
struct fact_key {
    fact_kind kind = fact_kind::member;
    std::string id;

    friend auto operator<=>(const fact_key&, const fact_key&) = default;
    template <class HashState>
    friend HashState AbslHashValue(HashState state, const fact_key& key) { // NOLINT
        return HashState::combine(std::move(state), key.kind, key.id);
    }
};

/// The part of a member's record that changes within one incarnation. The rest, the body, follows
/// only where the incarnation is unknown.
struct member_identity {
    node_id node;
    incarnation at;
    member_health health = member_health::alive;
    bool leaving = false;
    revision settings;

    friend bool operator==(const member_identity&, const member_identity&) = default;
};

/// A host that is being reclaimed; the identity is the whole fact. The time of the first mark lets
/// all nodes drop the fact at the same age.
struct leaving_host {
    host_id host;
    wall_time marked{};

    friend bool operator==(const leaving_host&, const leaving_host&) = default;
};

/// Orders the records of a service's moves: by start, then move, then hash of the whole record.
struct move_identity {
    service_id service;
    move_id move;
    std::uint64_t content_hash = 0;

    friend bool operator==(const move_identity&, const move_identity&) = default;
};

member_identity identity_of(const member& record);
move_identity identity_of(const version_move& record);

} // namespace jujubetide
