#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"

#include <optional>
#include <vector>

namespace jujubetide {

enum class node_role : std::uint8_t { entry, control };
enum class member_health : std::uint8_t { alive, suspected, dead };

/// What is known of one node of the system. Joins by (incarnation, health): a higher incarnation
/// wins; within one, the worse health wins; `leaving` is sticky within an incarnation.
struct member {
    node_id node;
    host_id host;
    failure_domain_id failure_domain;
    region_id region;
    node_role role = node_role::entry;
    /// Where peers connect.
    endpoint peer_address;
    /// Where callers (entry) or operators (control) connect.
    endpoint public_address;
    incarnation at;
    member_health health = member_health::alive;
    bool leaving = false;
    /// Revision of the settings in force at the node, as last heard.
    revision settings;
};

/// Joins two records of the same node; commutative, associative and idempotent.
member join_members(const member& a, const member& b);

/// The nodes of the system. Thread-safe, in shards.
class member_board {
public:
    /// Joins the record with what is known; returns whether anything changed.
    bool merge(const member& record);
    [[nodiscard]] std::optional<member> find(const node_id& node) const;
    /// All records, ordered by node id.
    [[nodiscard]] std::vector<member> all() const;
    void forget(const node_id& node);

private:
    sharded_map<node_id, member> members_;
};

} // namespace jujubetide
