#pragma once

#include "membership/fact_messages.h"

#include "jujubetide/membership/fact_store.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <vector>

namespace jujubetide {

/// Floods facts to the neighbours: identities first, bodies where they are missing. A changed fact
/// is told once to each neighbour that has not told it here. Not thread-safe.
class fact_flood {
public:
    explicit fact_flood(fact_store& store) : store_(store) {}

    struct received {
        /// What the sender lacks or is asked for; may be empty.
        wire::facts_message reply;
        /// Members whose records changed.
        std::vector<node_id> changed_members;
        /// Changed facts that must spread without delay.
        std::vector<fact_key> urgent;
    };

    /// Joins a message's facts. InvalidArgument when it is malformed; the facts before the fault
    /// have been joined.
    absl::StatusOr<received> receive(const node_id& from, const wire::facts_message& message,
                                     time_point now, wall_time wall_now);
    /// A member's own record, as heartbeats carry it.
    absl::StatusOr<received> receive(const node_id& from, const wire::member_record& record);

    /// Marks a fact to be told to all neighbours.
    void mark_changed(const fact_key& key);
    [[nodiscard]] bool has_changes() const { return !pending_.empty(); }
    /// The changed facts that `neighbour` has not told.
    [[nodiscard]] wire::facts_message changes_for(const node_id& neighbour) const;
    /// Ends a round: all neighbours have been told.
    void clear_changes() { pending_.clear(); }

    /// The facts in the buckets whose hashes differ from those told.
    [[nodiscard]] wire::facts_message differing(const std::vector<std::uint32_t>& told) const;

private:
    struct context {
        const node_id& from;
        time_point now;
        received& result;
    };

    absl::Status receive_members(const wire::facts_message& message, context& in);
    absl::Status receive_hosts(const wire::facts_message& message, context& in, wall_time now);
    absl::Status receive_moves(const wire::facts_message& message, context& in);
    void answer_wanted(const wire::facts_message& message, wire::facts_message& reply) const;
    void answer_buckets(const wire::facts_message& message, wire::facts_message& reply) const;
    void apply(const fact_key& key, fact_relation relation, context& in);
    void add_identity(const fact_key& key, wire::facts_message& message) const;
    bool may_ask(const fact_key& key, time_point now);

    fact_store& store_;
    /// Changed facts, each with the neighbours that have told the same.
    std::map<fact_key, std::vector<node_id>> pending_;
    absl::flat_hash_map<fact_key, time_point> asked_;
};

} // namespace jujubetide
