#include "membership/fact_flood.h"

#include <algorithm>
#include <set>

namespace jujubetide {
namespace {

/// A body that was asked for is not asked of another teller within this time.
constexpr micros ask_again_after{500'000};
constexpr std::size_t max_asked = 10'000;

/// Whether every node should hear of the change without waiting for the next round.
bool is_urgent(const fact_key& key) {
    return key.kind != fact_kind::member;
}

} // namespace

void fact_flood::mark_changed(const fact_key& key) {
    pending_[key].clear();
}

bool fact_flood::may_ask(const fact_key& key, time_point now) {
    if (asked_.size() >= max_asked) {
        asked_.clear();
    }
    const auto [place, added] = asked_.try_emplace(key, now);
    if (!added && now - place->second < ask_again_after) {
        return false;
    }
    place->second = now;
    return true;
}

void fact_flood::add_identity(const fact_key& key, wire::facts_message& message) const {
    switch (key.kind) {
    case fact_kind::member:
        if (const member* known = store_.find_member(node_id(key.id))) {
            message.members.push_back(wire::to_wire(identity_of(*known)));
        }
        return;
    case fact_kind::leaving_host:
        if (const leaving_host* known = store_.find_host(key.id)) {
            message.hosts.push_back(wire::to_wire(*known));
        }
        return;
    case fact_kind::move:
        if (const std::optional<version_move> known = store_.find_move(key.id)) {
            message.moves.push_back(wire::to_wire(identity_of(*known)));
        }
        return;
    }
}

void fact_flood::apply(const fact_key& key, fact_relation relation, context& in) {
    switch (relation) {
    case fact_relation::ignored:
        return;
    case fact_relation::equal: {
        const auto waiting = pending_.find(key);
        if (waiting != pending_.end()) {
            waiting->second.push_back(in.from);
        }
        return;
    }
    case fact_relation::taken:
        pending_[key] = {in.from};
        break;
    case fact_relation::joined:
        pending_[key].clear();
        break;
    case fact_relation::known_newer:
        add_identity(key, in.result.reply);
        return;
    case fact_relation::body_wanted:
        if (may_ask(key, in.now)) {
            auto& wanted = key.kind == fact_kind::member ? in.result.reply.wanted_members
                                                         : in.result.reply.wanted_moves;
            wanted.push_back(key.id);
        }
        return;
    }
    if (is_urgent(key)) {
        in.result.urgent.push_back(key);
    }
    if (key.kind == fact_kind::member) {
        in.result.changed_members.emplace_back(key.id);
    }
}

absl::Status fact_flood::receive_members(const wire::facts_message& message, context& in) {
    for (const wire::member_record& record : message.member_bodies) {
        const absl::StatusOr<member> told = wire::from_wire(record);
        if (!told.ok()) {
            return told.status();
        }
        apply({fact_kind::member, told->node.str()}, store_.join(*told), in);
    }
    for (const wire::member_identity_record& record : message.members) {
        const absl::StatusOr<member_identity> told = wire::from_wire(record);
        if (!told.ok()) {
            return told.status();
        }
        apply({fact_kind::member, told->node.str()}, store_.join(*told), in);
    }
    return absl::OkStatus();
}

absl::Status fact_flood::receive_hosts(const wire::facts_message& message, context& in,
                                       wall_time now) {
    for (const wire::leaving_host_record& record : message.hosts) {
        const absl::StatusOr<leaving_host> told = wire::from_wire(record);
        if (!told.ok()) {
            return told.status();
        }
        apply({fact_kind::leaving_host, told->host.str()}, store_.join(*told, now), in);
    }
    return absl::OkStatus();
}

absl::Status fact_flood::receive_moves(const wire::facts_message& message, context& in) {
    for (const wire::move_record& record : message.move_bodies) {
        const absl::StatusOr<version_move> told = wire::from_wire(record);
        if (!told.ok()) {
            return told.status();
        }
        apply({fact_kind::move, told->service.str()}, store_.join(*told), in);
    }
    for (const wire::move_identity_record& record : message.moves) {
        const absl::StatusOr<move_identity> told = wire::from_wire(record);
        if (!told.ok()) {
            return told.status();
        }
        apply({fact_kind::move, told->service.str()}, store_.join(*told), in);
    }
    return absl::OkStatus();
}

void fact_flood::answer_wanted(const wire::facts_message& message,
                               wire::facts_message& reply) const {
    for (const std::string& node : message.wanted_members) {
        if (const member* known = store_.find_member(node_id(node))) {
            reply.member_bodies.push_back(wire::to_wire(*known));
        }
    }
    for (const std::string& service : message.wanted_moves) {
        if (const std::optional<version_move> known = store_.find_move(service)) {
            reply.move_bodies.push_back(wire::to_wire(*known));
        }
    }
}

void fact_flood::answer_buckets(const wire::facts_message& message,
                                wire::facts_message& reply) const {
    if (message.complete_buckets.empty()) {
        return;
    }
    std::set<fact_key> told;
    for (const wire::member_identity_record& record : message.members) {
        told.insert({fact_kind::member, record.node});
    }
    for (const wire::leaving_host_record& record : message.hosts) {
        told.insert({fact_kind::leaving_host, record.host});
    }
    for (const wire::move_identity_record& record : message.moves) {
        told.insert({fact_kind::move, record.service});
    }
    const std::set<std::uint8_t> buckets(message.complete_buckets.begin(),
                                         message.complete_buckets.end());
    for (const std::uint8_t bucket : buckets) {
        for (const fact_key& key : store_.keys_in(bucket)) {
            if (!told.contains(key)) {
                add_identity(key, reply);
            }
        }
    }
}

absl::StatusOr<fact_flood::received> fact_flood::receive(const node_id& from,
                                                         const wire::facts_message& message,
                                                         time_point now, wall_time wall_now) {
    received result;
    context in{from, now, result};
    for (const absl::Status& status :
         {receive_members(message, in), receive_hosts(message, in, wall_now),
          receive_moves(message, in)}) {
        if (!status.ok()) {
            return status;
        }
    }
    answer_wanted(message, result.reply);
    answer_buckets(message, result.reply);
    return result;
}

absl::StatusOr<fact_flood::received> fact_flood::receive(const node_id& from,
                                                         const wire::member_record& record) {
    const absl::StatusOr<member> told = wire::from_wire(record);
    if (!told.ok()) {
        return told.status();
    }
    received result;
    context in{from, time_point{}, result};
    apply({fact_kind::member, told->node.str()}, store_.join(*told), in);
    return result;
}

wire::facts_message fact_flood::changes_for(const node_id& neighbour) const {
    wire::facts_message message;
    for (const auto& [key, tellers] : pending_) {
        if (std::find(tellers.begin(), tellers.end(), neighbour) == tellers.end()) {
            add_identity(key, message);
        }
    }
    return message;
}

wire::facts_message fact_flood::differing(const std::vector<std::uint32_t>& told) const {
    wire::facts_message message;
    for (std::size_t bucket = 0; bucket < fact_store::bucket_count; ++bucket) {
        const std::uint32_t other = bucket < told.size() ? told[bucket] : 0;
        if (store_.buckets()[bucket] == other) {
            continue;
        }
        message.complete_buckets.push_back(static_cast<std::uint8_t>(bucket));
        for (const fact_key& key : store_.keys_in(bucket)) {
            add_identity(key, message);
        }
    }
    return message;
}

} // namespace jujubetide
