#include "jujubetide/membership/fact_store.h"

#include "membership/fact_messages.h"
#include "membership/message_codec.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <string_view>

namespace jujubetide {
namespace {

/// Age at which a leaving host is dropped; its host id does not come back.
constexpr millis leaving_host_lifetime{24LL * 3600 * 1000};

template <class Wire>
std::uint64_t wire_hash(const Wire& record) {
    return stable_hash(wire::encode(record));
}

std::uint64_t hash_of(const member& record) {
    return record.health == member_health::dead ? 0 : wire_hash(wire::to_wire(identity_of(record)));
}

bool expired(const leaving_host& mark, wall_time now) {
    return mark.marked + leaving_host_lifetime <= now;
}

/// Whether the difference changes who is chosen as neighbour, watcher or collector.
bool changes_choices(const member& before, const member& after) {
    return (before.health == member_health::dead) != (after.health == member_health::dead) ||
           before.leaving != after.leaving || before.peer_address != after.peer_address;
}

} // namespace

member_identity identity_of(const member& record) {
    return {record.node, record.at, record.health, record.leaving, record.settings};
}

move_identity identity_of(const version_move& record) {
    return {record.service, record.id, wire_hash(wire::to_wire(record))};
}

std::size_t fact_store::bucket_of(const fact_key& key) {
    return stable_hash(key.id, static_cast<std::uint64_t>(key.kind)) % bucket_count;
}

void fact_store::set_hash(const fact_key& key, std::uint64_t hash) {
    std::uint64_t& known = hashes_[key];
    buckets_[bucket_of(key)] ^= static_cast<std::uint32_t>(known ^ hash);
    known = hash;
}

fact_relation fact_store::join(const member_identity& told) {
    const auto found = members_.find(told.node);
    if (found == members_.end()) {
        return told.health == member_health::dead ? fact_relation::ignored
                                                  : fact_relation::body_wanted;
    }
    if (told.at > found->second.at) {
        return fact_relation::body_wanted;
    }
    member record = found->second;
    record.at = told.at;
    record.health = told.health;
    record.leaving = told.leaving;
    record.settings = told.settings;
    return join(record);
}

fact_relation fact_store::join(const member& told) {
    const auto found = members_.find(told.node);
    if (found == members_.end()) {
        if (told.health == member_health::dead) {
            return fact_relation::ignored;
        }
        return store(told, identity_of(told));
    }
    return store(join_members(found->second, told), identity_of(told));
}

fact_relation fact_store::store(const member& joined, const member_identity& told) {
    const member_identity result = identity_of(joined);
    const auto [place, added] = members_.try_emplace(joined.node, joined);
    if (!added && identity_of(place->second) == result) {
        return result == told ? fact_relation::equal : fact_relation::known_newer;
    }
    if (added || changes_choices(place->second, joined)) {
        ++members_version_;
    }
    place->second = joined;
    set_hash({fact_kind::member, joined.node.str()}, hash_of(joined));
    board_.members.merge(joined);
    return result == told ? fact_relation::taken : fact_relation::joined;
}

fact_relation fact_store::join(const leaving_host& told, wall_time now) {
    if (expired(told, now)) {
        return fact_relation::ignored;
    }
    const auto [place, added] = hosts_.try_emplace(told.host.str(), told);
    if (!added && place->second.marked <= told.marked) {
        return place->second == told ? fact_relation::equal : fact_relation::known_newer;
    }
    place->second = told;
    set_hash({fact_kind::leaving_host, told.host.str()}, wire_hash(wire::to_wire(told)));
    board_.backends.mark_leaving(told.host);
    return fact_relation::taken;
}

fact_relation fact_store::join(const move_identity& told) const {
    const std::optional<version_move> known = find_move(told.service.str());
    return known && identity_of(*known) == told ? fact_relation::equal : fact_relation::body_wanted;
}

fact_relation fact_store::join(const version_move& told) {
    const bool changed = board_.moves.merge(told);
    refresh_move(told.service);
    const std::optional<version_move> known = find_move(told.service.str());
    const bool same = known && identity_of(*known) == identity_of(told);
    if (changed) {
        return same ? fact_relation::taken : fact_relation::joined;
    }
    return same ? fact_relation::equal : fact_relation::known_newer;
}

void fact_store::refresh_move(const service_id& service) {
    const std::optional<version_move> known = find_move(service.str());
    if (!known) {
        return;
    }
    const fact_key key{fact_kind::move, service.str()};
    if (!hashes_.contains(key)) {
        ++moves_;
    }
    set_hash(key, identity_of(*known).content_hash);
}

void fact_store::forget(const node_id& node) {
    if (members_.erase(node) == 0) {
        return;
    }
    const fact_key key{fact_kind::member, node.str()};
    set_hash(key, 0);
    hashes_.erase(key);
    board_.members.forget(node);
    ++members_version_;
}

void fact_store::drop_expired_hosts(wall_time now) {
    absl::erase_if(hosts_, [this, now](const auto& entry) {
        if (!expired(entry.second, now)) {
            return false;
        }
        const fact_key key{fact_kind::leaving_host, entry.first};
        set_hash(key, 0);
        hashes_.erase(key);
        return true;
    });
}

const member* fact_store::find_member(const node_id& node) const {
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

const leaving_host* fact_store::find_host(const std::string& host) const {
    const auto found = hosts_.find(host);
    return found == hosts_.end() ? nullptr : &found->second;
}

std::optional<version_move> fact_store::find_move(const std::string& service) const {
    return board_.moves.of_service(service_id(service));
}

std::uint64_t fact_store::root_hash() const {
    return stable_hash(std::string_view(reinterpret_cast<const char*>(buckets_.data()),
                                        buckets_.size() * sizeof(buckets_[0])));
}

std::vector<fact_key> fact_store::keys_in(std::size_t bucket) const {
    std::vector<fact_key> keys;
    for (const auto& [key, hash] : hashes_) {
        if (bucket_of(key) == bucket) {
            keys.push_back(key);
        }
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

} // namespace jujubetide
