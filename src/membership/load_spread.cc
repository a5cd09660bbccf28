// Two nodes that both take themselves for a server's watcher or a domain's collector cost bytes,
// not truth: a load is taken only when its sequence number, the civil time of the report in
// hundredths of a second, is higher than the known one.
#include "membership/load_spread.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jujubetide {
namespace {

constexpr std::size_t fan_out = 4;
/// An unchanged load is sent again after this time, as a sign that its watcher is at work.
constexpr micros refresh_period{4'000'000};
/// A report to the collector that has not come back in a batch by then is sent again.
constexpr micros resend_period{1'000'000};
constexpr micros details_period{20'000'000};
/// The second watcher steps in after this silence.
constexpr micros stale_after{8'000'000};
constexpr micros stand_in_period{1'900'000};
/// Younger batches may still be on their way down the tree.
constexpr micros repair_age{500'000};
constexpr micros stream_lifetime{10'000'000};
/// More collectors than there are failure domains, also while members change.
constexpr std::size_t max_streams = 256;

std::uint32_t hash_of(const backend_server_id& id) {
    return static_cast<std::uint32_t>(stable_hash(id.str()));
}

std::uint32_t to_token_units(token_count tokens) {
    const std::uint64_t units = (tokens.value() + wire::tokens_unit - 1) / wire::tokens_unit;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(units, UINT32_MAX));
}

bool same_load(const load_report& a, const load_report& b) {
    return a.running == b.running && a.waiting == b.waiting &&
           a.waiting_prompt_tokens == b.waiting_prompt_tokens;
}

bool same_details(const load_report& a, const load_report& b) {
    return a.max_running == b.max_running && a.version == b.version && a.leaving == b.leaving;
}

} // namespace

void load_spread::set_members(std::vector<member> members) {
    members_ = std::move(members);
    node_hashes_.clear();
    domain_hashes_.clear();
    for (const member& node : members_) {
        const std::uint64_t hash = stable_hash(node.node.str());
        node_hashes_.push_back(hash);
        domain_hashes_[node.failure_domain].push_back(hash);
    }
    tree_orders_.clear();
    choose_collectors();
    choose_duties();
}

void load_spread::set_settings(const snapshot_ptr& settings) {
    settings_ = settings;
    demand_.set_settings(settings);
    std::map<std::uint32_t, server_state> servers;
    absl::flat_hash_set<std::uint32_t> collided;
    for (const backend_server_settings& server : settings->backend_servers()) {
        const std::uint32_t hash = hash_of(server.id);
        const auto known = servers_.find(hash);
        server_state state;
        if (known != servers_.end() && known->second.id == server.id) {
            state = known->second;
        }
        state.id = server.id;
        if (!servers.try_emplace(hash, std::move(state)).second) {
            collided.insert(hash);
        }
    }
    std::erase_if(servers, [&](const auto& entry) { return collided.contains(entry.first); });
    servers_ = std::move(servers);
    choose_duties();
}

std::size_t load_spread::rank_of_self(const backend_server_settings& server) const {
    constexpr std::size_t last_rank = 2;
    const auto domain = domain_hashes_.find(server.failure_domain);
    if (domain != domain_hashes_.end() && self_.failure_domain != server.failure_domain) {
        return last_rank;
    }
    const auto& hashes = domain == domain_hashes_.end() ? node_hashes_ : domain->second;
    const std::uint64_t key = stable_hash(server.id.str());
    const std::uint64_t own_hash = stable_hash(self_.node.str());
    const std::uint64_t own = rendezvous_weight(key, own_hash);
    std::size_t rank = 0;
    for (const std::uint64_t hash : hashes) {
        if (hash != own_hash && rendezvous_weight(key, hash) > own && ++rank == last_rank) {
            return last_rank;
        }
    }
    return rank;
}

void load_spread::choose_duties() {
    first_duties_.clear();
    second_duties_.clear();
    if (settings_ == nullptr) {
        return;
    }
    for (const backend_server_settings& server : settings_->backend_servers()) {
        const std::uint32_t hash = hash_of(server.id);
        const std::size_t rank = servers_.contains(hash) ? rank_of_self(server) : 2;
        if (rank < 2) {
            (rank == 0 ? first_duties_ : second_duties_).push_back(hash);
        }
    }
}

std::vector<backend_server_id> load_spread::watched(time_point now) const {
    std::vector<backend_server_id> ids;
    for (const std::uint32_t hash : first_duties_) {
        ids.push_back(servers_.at(hash).id);
    }
    for (const std::uint32_t hash : second_duties_) {
        const server_state& state = servers_.at(hash);
        if (now - state.heard >= stale_after && now - state.reported >= stand_in_period) {
            ids.push_back(state.id);
        }
    }
    return ids;
}

void load_spread::report(const backend_server_id& id, load_report load, time_point now,
                         wall_time wall_now) {
    const auto found = servers_.find(hash_of(id));
    if (found == servers_.end()) {
        return;
    }
    server_state& state = found->second;
    constexpr millis sequence_unit{10};
    const auto civil = static_cast<std::uint64_t>(wall_now.time_since_epoch() / sequence_unit);
    load.sequence = sequence_number(std::max(civil, state.load.sequence.value() + 1));
    state.changed = state.changed || !state.has_load || !same_load(state.load, load) ||
                    now - state.sent >= (state.echoed ? refresh_period : resend_period);
    state.details_changed = state.details_changed || !state.has_load ||
                            !same_details(state.load, load) ||
                            now - state.details_sent >= details_period;
    state.has_details = true;
    state.reported = now;
    state.load = load;
    state.has_load = true;
    state.own_sequences[load.sequence.value() % state.own_sequences.size()] = load.sequence.value();
    board_.report_load(id, load, now);
}

void load_spread::choose_collectors() {
    collectors_.clear();
    const auto weight = [this](std::size_t i) {
        const member& node = members_[i];
        return rendezvous_weight(stable_hash("collector:" + node.failure_domain.str()),
                                 node_hashes_[i]);
    };
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto [place, added] = collectors_.try_emplace(members_[i].failure_domain, i);
        if (!added && weight(i) > weight(place->second)) {
            place->second = i;
        }
    }
}

// The inner places of each tree go to another part of the member list, so that with as many trees
// as twice the fan-out every node is an inner one in two. Collectors, which have their own tree to
// feed, come last and are leaves in the other trees.
const std::vector<std::size_t>& load_spread::tree_order(const std::string& root) {
    const auto [place, added] = tree_orders_.try_emplace(root);
    std::vector<std::size_t>& order = place->second;
    const auto found = std::find_if(members_.begin(), members_.end(), [&root](const member& node) {
        return node.node.str() == root;
    });
    if (!added || found == members_.end()) {
        return order;
    }
    const auto root_index = static_cast<std::size_t>(found - members_.begin());
    std::vector<std::size_t> ring;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (i != root_index) {
            const bool collects = collectors_.at(members_[i].failure_domain) == i;
            (collects ? others : ring).push_back(i);
        }
    }
    const auto tree = static_cast<std::size_t>(
        std::distance(collectors_.begin(), collectors_.find(found->failure_domain)));
    const std::size_t part = tree * ring.size() / fan_out;
    // Later rounds of trees are shifted, so that rounded borders do not meet at the same nodes.
    const std::size_t shift = tree / fan_out * ring.size() / (2 * fan_out);
    const std::size_t turn = ring.empty() ? 0 : (part + shift) % ring.size();
    std::rotate(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(turn), ring.end());
    order.push_back(root_index);
    order.insert(order.end(), ring.begin(), ring.end());
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

std::vector<endpoint> load_spread::children(const std::string& root) {
    const std::vector<std::size_t>& order = tree_order(root);
    const auto own = std::find_if(order.begin(), order.end(),
                                  [this](std::size_t i) { return members_[i].node == self_.node; });
    std::vector<endpoint> result;
    if (own == order.end()) {
        return result;
    }
    const auto position = static_cast<std::size_t>(own - order.begin());
    for (std::size_t i = 1; i <= fan_out; ++i) {
        const std::size_t child = fan_out * position + i;
        if (child < order.size()) {
            result.push_back(members_[order[child]].peer_address);
        }
    }
    return result;
}

wire::loads_message load_spread::take_changed(bool as_collector, time_point now) {
    wire::loads_message message;
    for (auto& [hash, state] : servers_) {
        if (state.changed) {
            message.base =
                std::max(message.base, static_cast<std::int64_t>(state.load.sequence.value()));
        }
    }
    for (auto& [hash, state] : servers_) {
        if (!state.changed) {
            continue;
        }
        const std::int64_t offset =
            static_cast<std::int64_t>(state.load.sequence.value()) - message.base;
        message.loads.push_back(
            {hash, static_cast<std::int32_t>(std::max<std::int64_t>(offset, INT32_MIN)),
             state.load.running, state.load.waiting,
             to_token_units(state.load.waiting_prompt_tokens)});
        if (state.details_changed && state.has_details) {
            message.details.push_back(
                {hash, state.load.max_running, state.load.version.str(), state.load.leaving});
            state.details_sent = now;
        }
        state.changed = false;
        state.details_changed = false;
        state.sent = now;
        state.sent_sequence = state.load.sequence.value();
        state.echoed = as_collector;
    }
    return message;
}

std::vector<load_delivery> load_spread::round(time_point now) {
    drop_old(now);
    const auto duty = collectors_.find(self_.failure_domain);
    if (duty == collectors_.end()) {
        return {};
    }
    const member* target = &members_[duty->second];
    const bool as_collector = target->node == self_.node;
    wire::loads_message message = take_changed(as_collector, now);
    message.demand = as_collector ? demand_.sums(now) : demand_.report(now);
    if (message.loads.empty() && message.demand.empty()) {
        return {};
    }
    if (!as_collector) {
        return {{target->peer_address, std::move(message)}};
    }
    message.root = self_.node.str();
    message.stream = stable_hash(absl::StrCat(self_.node.str(), "#", self_.at.value()));
    message.sequence = ++own_sequence_;
    remember(message, now);
    std::vector<load_delivery> deliveries;
    for (const endpoint& child : children(message.root)) {
        deliveries.push_back({child, message});
    }
    return deliveries;
}

void load_spread::apply(server_state& state, const load_report& load, time_point now) {
    const auto& own = state.own_sequences;
    if (std::find(own.begin(), own.end(), load.sequence.value()) == own.end()) {
        state.heard = now;
    }
    state.echoed = state.echoed || load.sequence.value() >= state.sent_sequence;
    if (state.has_load && load.sequence <= state.load.sequence) {
        return;
    }
    state.load = load;
    state.has_load = true;
    board_.report_load(state.id, load, now);
}

void load_spread::apply(const wire::loads_message& message, time_point now) {
    for (const wire::load_details_record& record : message.details) {
        const auto found = servers_.find(record.server);
        if (found != servers_.end()) {
            found->second.load.max_running = record.max_running;
            found->second.load.version = version_id(record.version);
            found->second.load.leaving = record.leaving;
            found->second.has_details = true;
        }
    }
    for (const wire::load_record& record : message.loads) {
        const auto found = servers_.find(record.server);
        if (found == servers_.end()) {
            continue;
        }
        server_state& state = found->second;
        load_report load = state.load;
        load.sequence = sequence_number(
            static_cast<std::uint64_t>(std::max<std::int64_t>(message.base + record.offset, 0)));
        load.running = record.running;
        load.waiting = record.waiting;
        load.waiting_prompt_tokens =
            token_count(std::uint64_t{record.waiting_tokens} * wire::tokens_unit);
        if (!state.has_details) {
            const backend_server_settings* server = settings_->find_backend_server(state.id);
            load.version = server == nullptr ? version_id() : server->version;
            load.max_running =
                server == nullptr ? 0 : static_cast<std::uint32_t>(server->max_running);
        }
        apply(state, load, now);
    }
}

void load_spread::apply_demand(const wire::loads_message& message, time_point now) {
    const auto root = std::find_if(members_.begin(), members_.end(), [&](const member& node) {
        return node.node.str() == message.root;
    });
    if (root != members_.end()) {
        demand_.on_sums(root->failure_domain, message.stream, message.sequence, message.demand,
                        now);
    }
}

bool load_spread::remember(const wire::loads_message& message, time_point now) {
    stream& at = streams_[message.stream];
    at.received = now;
    constexpr std::uint64_t window = 32;
    if (message.sequence > at.newest) {
        const std::uint64_t step = message.sequence - at.newest;
        at.mask = step >= window ? 0 : at.mask << step;
        at.newest = message.sequence;
    }
    const std::uint64_t age = at.newest - message.sequence;
    if (age >= window || (at.mask >> age & 1U) != 0) {
        return false;
    }
    at.mask |= 1U << age;
    at.mask |= age + 1 < window ? message.replaces << (age + 1) : 0;
    at.batches[message.sequence] = {message, now};
    at.batches[message.sequence].message.replaces = 0;
    while (at.batches.size() > kept_batches) {
        at.batches.erase(at.batches.begin());
    }
    return true;
}

void load_spread::mark_reported(const wire::loads_message& message) {
    for (const wire::load_record& record : message.loads) {
        const auto found = servers_.find(record.server);
        if (found != servers_.end()) {
            found->second.changed = true;
        }
    }
    for (const wire::load_details_record& record : message.details) {
        const auto found = servers_.find(record.server);
        if (found != servers_.end()) {
            found->second.details_changed = true;
        }
    }
}

absl::StatusOr<std::vector<load_delivery>>
load_spread::receive(const node_id& from, const wire::loads_message& message, time_point now) {
    constexpr std::int64_t max_base = 1LL << 52;
    if (message.base < 0 || message.base > max_base || streams_.size() > max_streams) {
        return absl::InvalidArgumentError("load batch out of range");
    }
    if (const absl::Status checked = demand_spread::check(message.demand); !checked.ok()) {
        return checked;
    }
    if (message.root.empty()) {
        // A watcher's report: the loads go into the next batch of this node.
        mark_reported(message);
        apply(message, now);
        demand_.on_report(from, message.demand, now);
        return std::vector<load_delivery>();
    }
    if (!remember(message, now)) {
        return std::vector<load_delivery>();
    }
    apply(message, now);
    apply_demand(message, now);
    std::vector<load_delivery> deliveries;
    if (!message.repair) {
        for (const endpoint& child : children(message.root)) {
            deliveries.push_back({child, message});
        }
    }
    return deliveries;
}

std::vector<wire::load_stream_record> load_spread::digest() const {
    std::vector<wire::load_stream_record> records;
    for (const auto& [id, at] : streams_) {
        records.push_back({id, at.newest, at.mask});
    }
    return records;
}

// The batches that are lacking become one, which holds each server's newest load and the newest
// demand among them.
wire::loads_message load_spread::merge_missing(const stream& from, std::uint32_t lacking) const {
    wire::loads_message merged;
    absl::flat_hash_set<std::uint32_t> loads;
    absl::flat_hash_set<std::uint32_t> details;
    for (auto place = from.batches.rbegin(); place != from.batches.rend(); ++place) {
        const wire::loads_message& each = place->second.message;
        const std::uint64_t age = from.newest - each.sequence;
        if (age >= 32 || (lacking >> age & 1U) == 0) {
            continue;
        }
        if (merged.sequence == 0) {
            merged.root = each.root;
            merged.stream = each.stream;
            merged.sequence = each.sequence;
            merged.base = each.base;
            merged.repair = true;
        } else if (merged.sequence - each.sequence <= 32) {
            merged.replaces |= 1U << (merged.sequence - each.sequence - 1);
        }
        if (merged.demand.empty()) {
            merged.demand = each.demand;
        }
        for (wire::load_record record : each.loads) {
            if (loads.insert(record.server).second) {
                record.offset += static_cast<std::int32_t>(each.base - merged.base);
                merged.loads.push_back(record);
            }
        }
        for (const wire::load_details_record& record : each.details) {
            if (details.insert(record.server).second) {
                merged.details.push_back(record);
            }
        }
    }
    return merged;
}

std::vector<wire::loads_message>
load_spread::missing(const std::vector<wire::load_stream_record>& told, time_point now) const {
    std::vector<wire::loads_message> messages;
    for (const auto& [id, at] : streams_) {
        std::uint32_t held = 0;
        for (const wire::load_stream_record& record : told) {
            if (record.stream != id || record.newest + 32 <= at.newest) {
                continue;
            }
            if (record.newest > at.newest) {
                const std::uint64_t step = record.newest - at.newest;
                held = step >= 32 ? UINT32_MAX : record.mask >> step;
            } else {
                held = record.mask << (at.newest - record.newest);
            }
        }
        std::uint32_t lacking = 0;
        for (const auto& [sequence, each] : at.batches) {
            const std::uint64_t age = at.newest - sequence;
            if (age < 32 && (held >> age & 1U) == 0 && now - each.received >= repair_age) {
                lacking |= 1U << age;
            }
        }
        if (lacking != 0) {
            messages.push_back(merge_missing(at, lacking));
        }
    }
    return messages;
}

void load_spread::drop_old(time_point now) {
    std::erase_if(streams_, [now](const auto& entry) {
        return now - entry.second.received >= stream_lifetime;
    });
}

} // namespace jujubetide
