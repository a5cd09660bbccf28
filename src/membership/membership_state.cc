// Facts are told as soon as they are urgent (leaving hosts, moves, settings, this node's own
// leaving), others once a tick. What is lost on the way is found by the hash of all facts that each
// heartbeat carries: when it differs twice in a row, so that facts which are just spreading do not
// count, the two nodes compare hashes of buckets and exchange the identities in those that differ.
#include "membership/membership_state.h"

#include "membership/membership_events.h"
#include "membership/message_codec.h"

#include "jujubetide/membership/overlay.h"

#include <algorithm>
#include <map>
#include <set>

namespace jujubetide {
namespace {

constexpr int differing_roots_before_digest = 2;
/// A single one may often lack the same batches, being close in the trees.
constexpr std::size_t least_digest_peers = 2;
constexpr micros digest_period{1'000'000};
/// Urgent facts are told twice, so that a lost message costs no round of digests.
constexpr micros repeat_after{500'000};

} // namespace

membership_node::state::state(const member& self, std::vector<endpoint> seeds,
                              const dependencies& with, const membership_config& config)
    : with_(with), config_(config), self_(self), seeds_(std::move(seeds)), store_(with.board),
      flood_(store_), detector_(config.failures), loads_(with.board.backends, self) {
    const time_point now = with_.time.now();
    next_heartbeat_ = now;
    next_probe_ = now;
    std::erase(seeds_, self_.peer_address);
    store_.join(self_);
    take_settings_from_board();
}

absl::Status membership_node::state::on_message(const peer_message& message,
                                                membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    detector_.on_heard(message.from, with_.time.now());
    switch (message.kind) {
    case peer_message_kind::heartbeat:
        return on_heartbeat(message, effects);
    case peer_message_kind::facts:
        return on_facts(message, effects);
    case peer_message_kind::loads:
        return on_loads(message, effects);
    case peer_message_kind::digest:
        return on_digest(message, effects);
    case peer_message_kind::settings_fetch:
        return on_settings(message, effects);
    default:
        return absl::InvalidArgumentError("not a message of the membership");
    }
}

absl::Status membership_node::state::on_heartbeat(const peer_message& message,
                                                  membership_effects& effects) {
    const auto heartbeat = wire::decode<wire::heartbeat_message>(message.body);
    if (!heartbeat.ok()) {
        return heartbeat.status();
    }
    if (message.from == self_.node || heartbeat->sender.identity.node != message.from.str()) {
        return absl::InvalidArgumentError("a heartbeat in another node's name");
    }
    if (heartbeat->sender.identity.health != static_cast<std::uint8_t>(member_health::alive)) {
        return absl::InvalidArgumentError("a heartbeat of a node that is not alive");
    }
    auto received = flood_.receive(message.from, heartbeat->sender);
    if (!received.ok()) {
        return received.status();
    }
    if (heartbeat->answer_wanted && !is_neighbour(message.from)) {
        send_heartbeat(store_.find_member(message.from)->peer_address, false, effects);
    }
    after_facts(message.from, *received, effects);
    compare_roots(message.from, heartbeat->facts_root, effects);
    on_revision_told(message.from, revision(heartbeat->sender.identity.settings), effects);
    return absl::OkStatus();
}

absl::Status membership_node::state::on_facts(const peer_message& message,
                                              membership_effects& effects) {
    const auto facts = wire::decode<wire::facts_message>(message.body);
    if (!facts.ok()) {
        return facts.status();
    }
    for (const wire::member_identity_record& told : facts->members) {
        if (told.node == self_.node.str() && incarnation(told.at) > self_.at &&
            wire::from_wire(told).ok()) {
            self_.at = incarnation(told.at);
            raise_own_incarnation();
        }
    }
    auto received = flood_.receive(message.from, *facts, with_.time.now(), with_.time.wall_now());
    if (!received.ok()) {
        return received.status();
    }
    after_facts(message.from, *received, effects);
    on_revision_told(message.from, revision(facts->settings), effects);
    return absl::OkStatus();
}

absl::Status membership_node::state::on_digest(const peer_message& message,
                                               membership_effects& effects) {
    const auto digest = wire::decode<wire::digest_message>(message.body);
    if (!digest.ok()) {
        return digest.status();
    }
    if (!digest->fact_buckets.empty()) {
        send_facts(message.from, flood_.differing(digest->fact_buckets), effects);
        return absl::OkStatus();
    }
    const member* sender = store_.find_member(message.from);
    if (sender == nullptr) {
        return absl::OkStatus();
    }
    for (const wire::loads_message& lacking :
         loads_.missing(digest->load_streams, with_.time.now())) {
        effects.messages.push_back(
            {sender->peer_address, peer_message_kind::loads, wire::encode(lacking)});
    }
    return absl::OkStatus();
}

absl::Status membership_node::state::on_loads(const peer_message& message,
                                              membership_effects& effects) {
    const auto loads = wire::decode<wire::loads_message>(message.body);
    if (!loads.ok()) {
        return loads.status();
    }
    const auto deliveries = loads_.receive(message.from, *loads, with_.time.now());
    if (!deliveries.ok()) {
        return deliveries.status();
    }
    send_loads(*deliveries, effects);
    return absl::OkStatus();
}

void membership_node::state::send_loads(const std::vector<load_delivery>& deliveries,
                                        membership_effects& effects) {
    for (const load_delivery& delivery : deliveries) {
        effects.messages.push_back(
            {delivery.to, peer_message_kind::loads, wire::encode(delivery.message)});
    }
}

void membership_node::state::spread_loads(membership_effects& effects) {
    send_loads(loads_.round(with_.time.now()), effects);
    if (neighbours_.empty()) {
        return;
    }
    wire::digest_message digest;
    digest.load_streams = loads_.digest();
    if (digest.load_streams.empty() && settings_.at() == revision()) {
        return;
    }
    const member& peer = digest_peers_[with_.random.below(digest_peers_.size())];
    effects.messages.push_back(
        {peer.peer_address, peer_message_kind::digest, wire::encode(digest)});
}

std::vector<backend_server_id> membership_node::state::watched_servers() const {
    const std::lock_guard lock(mutex_);
    return loads_.watched(with_.time.now());
}

void membership_node::state::report_load(const backend_server_id& id, const load_report& load) {
    const std::lock_guard lock(mutex_);
    loads_.report(id, load, with_.time.now(), with_.time.wall_now());
}

void membership_node::state::set_own_demand(const std::vector<customer_demand>& demand) {
    const std::lock_guard lock(mutex_);
    loads_.demand().set_own(demand, with_.time.now());
}

std::vector<customer_demand> membership_node::state::demand_of_others() const {
    const std::lock_guard lock(mutex_);
    return loads_.demand().others(with_.time.now());
}

absl::Status membership_node::state::on_settings(const peer_message& message,
                                                 membership_effects& effects) {
    const auto settings = wire::decode<wire::settings_message>(message.body);
    if (!settings.ok()) {
        return settings.status();
    }
    const member* sender = store_.find_member(message.from);
    if (settings->at == 0) {
        const auto answer = settings_.answer(*settings);
        if (answer && sender != nullptr) {
            effects.messages.push_back(
                {sender->peer_address, peer_message_kind::settings_fetch, wire::encode(*answer)});
        }
        return absl::OkStatus();
    }
    auto fetched = settings_.on_answer(*settings);
    if (!fetched.ok()) {
        with_.log.write(
            membership_events::settings_refused,
            {{"from", message.from.str()}, {"reason", std::string(fetched.status().message())}});
        return absl::OkStatus();
    }
    effects.fetched = *std::move(fetched);
    return absl::OkStatus();
}

void membership_node::state::after_facts(const node_id& from, fact_flood::received& received,
                                         membership_effects& effects) {
    for (const node_id& node : received.changed_members) {
        sync_detector(node);
    }
    send_facts(from, std::move(received.reply), effects);
    refute_if_needed(effects);
    for (const fact_key& key : received.urgent) {
        repeats_.emplace_back(with_.time.now() + repeat_after, key);
    }
    if (!received.urgent.empty()) {
        flush(effects);
    }
}

void membership_node::state::on_revision_told(const node_id& from, revision told,
                                              membership_effects& effects) {
    const member* sender = store_.find_member(from);
    if (sender == nullptr) {
        return;
    }
    const auto question = settings_.on_told(sender->failure_domain, told, with_.time.now());
    if (question) {
        effects.messages.push_back(
            {sender->peer_address, peer_message_kind::settings_fetch, wire::encode(*question)});
    }
}

void membership_node::state::compare_roots(const node_id& from, std::uint64_t root,
                                           membership_effects& effects) {
    int& differing = differing_roots_[from];
    if (root == store_.root_hash()) {
        differing = 0;
        return;
    }
    ++differing;
    const time_point now = with_.time.now();
    const bool fresh = store_.members().size() <= 2;
    if ((differing < differing_roots_before_digest && !fresh) ||
        (now - last_digest_ < digest_period && !fresh)) {
        return;
    }
    last_digest_ = now;
    differing = 0;
    wire::digest_message digest;
    digest.fact_buckets.assign(store_.buckets().begin(), store_.buckets().end());
    effects.messages.push_back(
        {store_.find_member(from)->peer_address, peer_message_kind::digest, wire::encode(digest)});
}

void membership_node::state::refute_if_needed(membership_effects& effects) {
    const member* known = store_.find_member(self_.node);
    if (known->at == self_.at && known->health == member_health::alive &&
        known->leaving == self_.leaving) {
        return;
    }
    self_.at = std::max(self_.at, known->at);
    raise_own_incarnation();
    with_.log.write(membership_events::own_suspicion_refuted,
                    {{"incarnation", std::to_string(self_.at.value())}});
    flush(effects);
}

void membership_node::state::raise_own_incarnation() {
    self_.at = self_.at.next();
    change_self();
}

void membership_node::state::change_self() {
    store_.join(self_);
    flood_.mark_changed({fact_kind::member, self_.node.str()});
}

void membership_node::state::sync_detector(const node_id& node) {
    const member* known = store_.find_member(node);
    if (known == nullptr || node == self_.node) {
        return;
    }
    const time_point now = with_.time.now();
    switch (known->health) {
    case member_health::alive:
        detector_.on_alive(node);
        // A refutation that came through others is a sign of life as well.
        detector_.on_heard(node, now);
        return;
    case member_health::suspected:
        detector_.on_suspected(node, now);
        return;
    case member_health::dead:
        detector_.on_dead(node, now);
        return;
    }
}

void membership_node::state::judge(const node_id& node, member_health health) {
    const member* known = store_.find_member(node);
    if (known == nullptr) {
        return;
    }
    member record = *known;
    record.health = health;
    if (store_.join(record) != fact_relation::equal) {
        flood_.mark_changed({fact_kind::member, node.str()});
        const bool dead = health == member_health::dead;
        with_.log.write(dead ? membership_events::member_dead : membership_events::member_suspected,
                        {{"node", node.str()}});
    }
    sync_detector(node);
}

void membership_node::state::run_detector(membership_effects& effects) {
    const failure_verdicts verdicts = detector_.check(with_.time.now());
    if (verdicts.own_pause) {
        with_.log.write(membership_events::own_pause, {});
        raise_own_incarnation();
        flush(effects);
        next_heartbeat_ = with_.time.now();
    }
    for (const node_id& node : verdicts.suspected) {
        judge(node, member_health::suspected);
    }
    for (const node_id& node : verdicts.dead) {
        judge(node, member_health::dead);
    }
    for (const node_id& node : verdicts.forgotten) {
        store_.forget(node);
        differing_roots_.erase(node);
    }
}

void membership_node::state::update_neighbours(membership_effects& effects) {
    if (neighbours_version_ == store_.members_version()) {
        return;
    }
    neighbours_version_ = store_.members_version();
    std::vector<member> candidates;
    for (const auto& [node, record] : store_.members()) {
        if (record.health != member_health::dead) {
            candidates.push_back(record);
        }
    }
    const std::vector<member> before = std::move(neighbours_);
    neighbours_ = choose_neighbours(self_, candidates);
    digest_peers_ = choosers_of(self_, neighbours_, candidates);
    if (digest_peers_.size() < least_digest_peers) {
        digest_peers_ = neighbours_;
    }
    std::vector<node_id> ids;
    for (const member& neighbour : neighbours_) {
        ids.push_back(neighbour.node);
        const bool known = std::any_of(before.begin(), before.end(), [&](const member& other) {
            return other.node == neighbour.node;
        });
        if (!known) {
            send_heartbeat(neighbour.peer_address, true, effects);
        }
    }
    detector_.set_neighbours(ids, with_.time.now());
    std::erase_if(candidates, [](const member& record) { return record.leaving; });
    loads_.set_members(std::move(candidates));
}

void membership_node::state::take_settings_from_board() {
    const snapshot_ptr snapshot = with_.board.settings.current();
    if (snapshot == nullptr || snapshot->at() <= settings_.at()) {
        return;
    }
    settings_.on_snapshot(snapshot);
    loads_.set_settings(snapshot);
    self_.settings = snapshot->at();
    change_self();
}

void membership_node::state::on_tick(membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    const time_point now = with_.time.now();
    run_detector(effects);
    update_neighbours(effects);
    take_settings_from_board();
    ask_settings_again(effects);
    repeat_urgent();
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + config_.heartbeat_period;
        store_.drop_expired_hosts(with_.time.wall_now());
        send_heartbeats(effects);
        ask_other_domains(effects);
        spread_loads(effects);
    }
    if (now >= next_probe_) {
        next_probe_ = now + (alone() ? config_.heartbeat_period : config_.probe_period);
        probe(effects);
    }
    flush(effects);
}

void membership_node::state::send_heartbeat(const endpoint& to, bool answer_wanted,
                                            membership_effects& effects) const {
    wire::heartbeat_message heartbeat;
    heartbeat.sender = wire::to_wire(self_);
    heartbeat.facts_root = store_.root_hash();
    heartbeat.answer_wanted = answer_wanted;
    effects.messages.push_back({to, peer_message_kind::heartbeat, wire::encode(heartbeat)});
}

void membership_node::state::send_heartbeats(membership_effects& effects) {
    for (const member& neighbour : neighbours_) {
        send_heartbeat(neighbour.peer_address, true, effects);
    }
}

bool membership_node::state::alone() const {
    return neighbours_.empty();
}

// Regions that lost each other know the other's nodes as dead only; the probes are what joins them
// again. A node that knows nobody asks all of its seeds.
void membership_node::state::probe(membership_effects& effects) {
    if (alone()) {
        for (const endpoint& seed : seeds_) {
            send_heartbeat(seed, true, effects);
        }
    }
    std::vector<endpoint> silent;
    std::set<endpoint> alive;
    for (const auto& [node, record] : store_.members()) {
        if (record.health != member_health::dead) {
            alive.insert(record.peer_address);
        }
    }
    for (const auto& [node, record] : store_.members()) {
        if (record.health == member_health::dead && !alive.contains(record.peer_address)) {
            silent.push_back(record.peer_address);
        }
    }
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(silent),
                 [&alive](const endpoint& seed) { return !alive.contains(seed); });
    if (!silent.empty()) {
        send_heartbeat(silent[with_.random.below(silent.size())], true, effects);
    }
}

void membership_node::state::flush(membership_effects& effects) {
    if (!flood_.has_changes()) {
        return;
    }
    for (const member& neighbour : neighbours_) {
        send_facts(neighbour.node, flood_.changes_for(neighbour.node), effects);
    }
    flood_.clear_changes();
}

void membership_node::state::send_facts(const node_id& to, wire::facts_message message,
                                        membership_effects& effects) {
    const member* known = store_.find_member(to);
    if (message.empty() || known == nullptr) {
        return;
    }
    message.settings = settings_.at().value();
    effects.messages.push_back(
        {known->peer_address, peer_message_kind::facts, wire::encode(message)});
}

void membership_node::state::publish_host(const host_id& host, membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    const wall_time now = with_.time.wall_now();
    if (store_.find_host(host.str()) != nullptr) {
        return;
    }
    const struct leaving_host mark { host, now };
    store_.join(mark, now);
    publish({fact_kind::leaving_host, host.str()}, effects);
}

void membership_node::state::publish_move(const version_move& record, membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    store_.join(record);
    publish({fact_kind::move, record.service.str()}, effects);
}

void membership_node::state::publish_settings(membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    take_settings_from_board();
    flush(effects);
}

void membership_node::state::publish_leaving_self(membership_effects& effects) {
    const std::lock_guard lock(mutex_);
    self_.leaving = true;
    change_self();
    flush(effects);
}

void membership_node::state::on_refused(revision at) {
    const std::lock_guard lock(mutex_);
    settings_.on_refused(at);
}

bool membership_node::state::is_neighbour(const node_id& node) const {
    return std::any_of(neighbours_.begin(), neighbours_.end(),
                       [&node](const member& other) { return other.node == node; });
}

std::vector<node_id> membership_node::state::neighbours() const {
    const std::lock_guard lock(mutex_);
    std::vector<node_id> ids;
    for (const member& neighbour : neighbours_) {
        ids.push_back(neighbour.node);
    }
    return ids;
}

bool membership_node::state::settings_ready() {
    const std::lock_guard lock(mutex_);
    return update_readiness();
}

bool membership_node::state::update_readiness() {
    if (settings_.was_ready()) {
        return true;
    }
    std::set<failure_domain_id> others;
    for (const auto& [node, record] : store_.members()) {
        if (node != self_.node && record.health != member_health::dead) {
            others.insert(record.failure_domain);
        }
    }
    return settings_.ready(std::min(config_.settings_domains, others.size()));
}

void membership_node::state::ask_settings_again(membership_effects& effects) {
    if (settings_.highest_told() <= settings_.at()) {
        return;
    }
    std::vector<endpoint> ahead;
    for (const member& neighbour : neighbours_) {
        const member* known = store_.find_member(neighbour.node);
        if (known != nullptr && known->settings > settings_.at()) {
            ahead.push_back(known->peer_address);
        }
    }
    if (ahead.empty()) {
        return;
    }
    const auto question = settings_.question(with_.time.now());
    if (question) {
        effects.messages.push_back({ahead[with_.random.below(ahead.size())],
                                    peer_message_kind::settings_fetch, wire::encode(*question)});
    }
}

void membership_node::state::repeat_urgent() {
    const time_point now = with_.time.now();
    while (!repeats_.empty() && repeats_.front().first <= now) {
        flood_.mark_changed(repeats_.front().second);
        repeats_.pop_front();
    }
}

void membership_node::state::publish(const fact_key& key, membership_effects& effects) {
    flood_.mark_changed(key);
    repeats_.emplace_back(with_.time.now() + repeat_after, key);
    flush(effects);
}

// The neighbours of a fresh node may lie in fewer failure domains than it must hear.
void membership_node::state::ask_other_domains(membership_effects& effects) {
    if (update_readiness()) {
        return;
    }
    std::map<failure_domain_id, std::vector<endpoint>> silent;
    for (const auto& [node, record] : store_.members()) {
        if (node != self_.node && record.health == member_health::alive &&
            !settings_.has_told(record.failure_domain)) {
            silent[record.failure_domain].push_back(record.peer_address);
        }
    }
    std::size_t asked = 0;
    for (const auto& [domain, peers] : silent) {
        if (asked++ < config_.settings_domains) {
            send_heartbeat(peers[with_.random.below(peers.size())], true, effects);
        }
    }
}

} // namespace jujubetide
