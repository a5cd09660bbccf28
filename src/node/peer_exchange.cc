#include "node/peer_exchange.h"

#include "node/leaving_answers.h"
#include "node/node_events.h"
#include "node/table_readers.h"

#include "jujubetide/store/bounded_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// No node keeps more servers busy; peers' messages may hold any number.
constexpr double max_reported_demand = 1e6;
using json = nlohmann::json;

/// While a node hears no peer, its directory still lists the peers last heard within this time.
constexpr micros recent_period{5'000'000};
/// The row of a node that was not heard for this long is removed; a node that is alive rewrites it.
constexpr micros dead_row_timeout{20'000'000};
/// One heartbeat in this many carries all usage; the others only recent changes.
constexpr int heartbeats_per_full_report = 8;
/// Delay before the node's own row is written again after a failure.
constexpr micros row_retry_delay{500'000};

std::string to_text(const node_record& record) {
    return json{{"start", record.start.value()},
                {"callers", record.callers.str()},
                {"peers", record.peers.str()},
                {"failure_domain", record.failure_domain.str()}}
        .dump();
}

std::vector<store_position> to_positions(const std::vector<row_version>& versions,
                                         const std::vector<store_era>& eras) {
    std::vector<store_position> positions;
    for (std::size_t i = 0; i < versions.size(); ++i) {
        positions.push_back({i < eras.size() ? eras[i] : store_era(), versions[i]});
    }
    return positions;
}

absl::StatusOr<node_record> parse_record(const stored_row& row) {
    const absl::StatusOr<json> parsed = parse_bounded_json(row.value);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const json& body = *parsed;
    try {
        const auto callers = parse_endpoint(body.at("callers").get<std::string>());
        const auto peers = parse_endpoint(body.at("peers").get<std::string>());
        if (!callers.ok() || !peers.ok()) {
            return absl::InvalidArgumentError(
                "invalid address in field 'callers' or 'peers' of the node row");
        }
        return node_record{node_id(row.key), incarnation(body.at("start").get<std::uint64_t>()),
                           *callers, *peers,
                           failure_domain_id(body.at("failure_domain").get<std::string>())};
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

absl::StatusOr<std::unique_ptr<peer_exchange>>
peer_exchange::make(serving_state& state, row_store& store, incarnation start) {
    std::unique_ptr<peer_exchange> result(new peer_exchange(state, store, start));
    auto socket = udp_socket::make(
        state.loop, state.settings.peer_endpoint,
        [exchange = result.get()](std::string_view bytes) { exchange->receive(bytes); });
    if (!socket.ok()) {
        return socket.status();
    }
    result->socket_ = *std::move(socket);
    return result;
}

peer_exchange::peer_exchange(serving_state& state, row_store& store, incarnation start)
    : state_(state), store_(store), start_(start) {}

void peer_exchange::start() {
    publishes_row_ = true;
    write_own_row();
    digest_timer_ = state_.timers.every(heartbeat_period, heartbeat_period, [this] {
        update_liveness();
        ++periods_since_heartbeat_;
        if (is_heartbeat_due()) {
            send_heartbeat();
        }
    });
}

void peer_exchange::write_own_row() {
    if (row_write_pending_ || !publishes_row_) {
        return;
    }
    row_write_pending_ = true;
    const node_record own{state_.settings.node, start_, state_.settings.caller_endpoint,
                          state_.settings.peer_endpoint, state_.settings.failure_domain};
    row_transaction write;
    write.puts.push_back({table, own.node.str(), to_text(own)});
    store_.commit(write, [this](const absl::StatusOr<row_version>& result) {
        row_write_pending_ = false;
        if (result.ok()) {
            return;
        }
        state_.log.write(own_row_not_written, {{"why", std::string(result.status().message())}});
        row_timer_ = state_.timers.once(row_retry_delay, [this] { write_own_row(); });
    });
}

void peer_exchange::leave() {
    publishes_row_ = false;
    // Datagrams can get lost, so the last heartbeat is sent more than once.
    constexpr int copies = 2;
    for (int i = 0; i < copies; ++i) {
        send_heartbeat();
    }
    row_transaction removal;
    removal.removals.push_back({table, state_.settings.node.str()});
    store_.commit(removal, [this](const absl::StatusOr<row_version>& result) {
        if (!result.ok()) {
            state_.log.write(own_row_not_written,
                             {{"why", std::string(result.status().message())}});
        }
    });
}

void peer_exchange::set_store_access(bool reaches_store, bool follows_tables) {
    reaches_store_ = reaches_store;
    follows_tables_ = follows_tables;
}

void peer_exchange::send_heartbeat() {
    periods_since_heartbeat_ = 0;
    peer_heartbeat heartbeat;
    heartbeat.node = state_.settings.node;
    heartbeat.start = start_;
    heartbeat.is_ready = state_.is_ready();
    heartbeat.is_leaving = state_.stopping;
    heartbeat.cores = state_.settings.cores;
    heartbeat.reaches_store = reaches_store_;
    heartbeat.follows_tables = follows_tables_;
    for (const store_position& change : own_table_changes()) {
        heartbeat.table_versions.push_back(change.version);
        heartbeat.table_eras.push_back(change.era);
    }
    heartbeat.has_usage_history = has_usage_history_;
    heartbeat.holds_duties = lease_.has_value();
    if (lease_) {
        heartbeat.lease_record = jujubetide::to_text(lease_->record);
        heartbeat.lease_version = lease_->version;
    }
    add_usage(heartbeat);
    heartbeat.loads = state_.loads.own();
    heartbeat.readings = state_.prompts.take_updates();
    heartbeat.demand = state_.demand.busy_servers(state_.time.now());
    heartbeat.suspicions = state_.crashes.suspicions();
    heartbeat.server_limits = state_.limits.reports(state_.time.now());
    heartbeat.reaches_servers = !state_.links.are_lost();
    heartbeat.leaving_servers = state_.backends.notices().reports(state_.time.now());
    heartbeat.trials = state_.trials.reports();
    heartbeat.config_version = own_config_version();
    heartbeat.settled_windows.assign(state_.usage.settled().begin(), state_.usage.settled().end());
    const std::string bytes = encode(heartbeat);
    for (const auto& [node, other] : peers_) {
        socket_->send(other.record.peers, bytes);
    }
}

void peer_exchange::add_usage(peer_heartbeat& heartbeat) {
    const bool is_full = state_.stopping || heartbeats_since_full_ == 0;
    heartbeats_since_full_ = (heartbeats_since_full_ + 1) % heartbeats_per_full_report;
    heartbeat.usage = state_.usage.own();
    if (is_full) {
        heartbeat.spending = state_.caps.all_usage(state_.time.now());
        return;
    }
    heartbeat.spending = state_.caps.recent_usage(state_.time.now());
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    std::erase_if(heartbeat.usage,
                  [current](const auto& item) { return item.first.value() + 1 < current.value(); });
}

void peer_exchange::receive(std::string_view bytes) {
    const absl::StatusOr<peer_heartbeat> heartbeat = decode_heartbeat(bytes);
    if (!heartbeat.ok()) {
        state_.log.write(peer_message_rejected,
                         {{"why", std::string(heartbeat.status().message())}});
        return;
    }
    const auto found = peers_.find(heartbeat->node);
    if (found == peers_.end() || heartbeat->start < found->second.record.start) {
        return;
    }
    peer& sender = found->second;
    const time_point now = state_.time.now();
    if (!std::exchange(sender.was_live, true)) {
        state_.log.write(peer_found, {{"peer", heartbeat->node.str()}});
    }
    sender.record.start = heartbeat->start;
    const micros since_last = now - sender.last_heard.value_or(now);
    sender.last_heard = now;
    sender.is_ready = heartbeat->is_ready;
    sender.is_leaving = heartbeat->is_leaving;
    sender.cores = heartbeat->cores;
    sender.reaches_store = heartbeat->reaches_store;
    sender.reaches_servers = heartbeat->reaches_servers;
    sender.follows_tables = heartbeat->follows_tables;
    sender.holds_duties = heartbeat->holds_duties;
    sender.has_usage_history = heartbeat->has_usage_history;
    sender.table_changes = to_positions(heartbeat->table_versions, heartbeat->table_eras);
    sender.names_eras = !heartbeat->table_eras.empty();
    sender.config_version = heartbeat->config_version;
    update_demand(sender, heartbeat->demand, since_last);
    if (heartbeat->holds_duties && on_peer_lease_) {
        if (const auto record = parse_lease_record(heartbeat->lease_record); record.ok()) {
            on_peer_lease_({*record, heartbeat->lease_version});
        }
    }
    state_.caps.on_peer_usage(heartbeat->node, heartbeat->start, heartbeat->spending, now);
    state_.admission.shares().on_peer_usage(heartbeat->node, heartbeat->start, heartbeat->spending,
                                            now);
    for (const auto& [window, counts] : heartbeat->usage) {
        state_.usage.on_peer_counts(heartbeat->node, heartbeat->start, window, counts);
    }
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    for (const usage_window window : heartbeat->settled_windows) {
        if (window < current) {
            state_.usage.settle(window);
        }
    }
    state_.loads.set_peer(heartbeat->node, heartbeat->loads);
    for (const cached_prefix& reading : heartbeat->readings) {
        state_.prompts.on_prefix_cached(reading.key, reading.server, now);
    }
    state_.crashes.on_peer_suspicions(heartbeat->suspicions);
    apply_server_limits(heartbeat->server_limits);
    apply_leaving_reports(state_, heartbeat->leaving_servers);
    for (const move_order& stopped :
         state_.trials.on_peer_reports(heartbeat->node, heartbeat->trials)) {
        state_.log.write(
            version_stopped,
            {{"service", stopped.service.str()}, {"version", stopped.to.str()}, {"from", "peer"}});
    }
    if (on_newer_table_ &&
        (has_newer_table(sender) || sender.config_version > own_config_version())) {
        on_newer_table_();
    }
}

void peer_exchange::apply_server_limits(std::vector<server_limit_report> reports) {
    std::erase_if(reports, [this](const server_limit_report& report) {
        return state_.backends.find(report.server) == nullptr;
    });
    state_.limits.on_peer_reports(reports, state_.time.now());
}

bool peer_exchange::has_newer_table(const peer& other) const {
    const std::vector<store_position> own = own_table_changes();
    for (std::size_t i = 0; i < own.size() && i < other.table_changes.size(); ++i) {
        if (other.table_changes[i] > own[i]) {
            return true;
        }
    }
    return false;
}

std::vector<store_position> peer_exchange::own_table_changes() const {
    return table_changes_ ? table_changes_() : std::vector<store_position>();
}

int peer_exchange::periods_per_heartbeat() const {
    return 1 + static_cast<int>(peers_.size() / max_peers_per_period);
}

bool peer_exchange::is_heartbeat_due() const {
    // The other nodes hear of changes, and of the end of the readers, by the readers' heartbeats.
    return periods_since_heartbeat_ >= periods_per_heartbeat() ||
           (follows_tables_ && is_table_reader());
}

micros peer_exchange::silence_limit() const {
    return usage_cap::peer_silence_timeout(heartbeat_period * periods_per_heartbeat());
}

bool peer_exchange::is_live(const peer& other) const {
    return other.last_heard && state_.time.now() - *other.last_heard < silence_limit();
}

bool peer_exchange::is_live_table_reader(const peer& other) const {
    return other.follows_tables && other.reaches_store && !other.is_leaving && other.last_heard &&
           state_.time.now() - *other.last_heard <
               usage_cap::peer_silence_timeout(heartbeat_period);
}

void peer_exchange::update_liveness() {
    std::erase_if(peers_, [this](const auto& item) {
        return (item.second.is_row_removed || item.second.is_row_lost) && !item.second.was_live;
    });
    std::size_t live_nodes = 1;
    for (auto& [node, other] : peers_) {
        if (is_live(other)) {
            ++live_nodes;
        } else if (other.was_live) {
            other.was_live = false;
            state_.loads.forget_peer(node);
            state_.admission.shares().forget_peer(node);
            state_.log.write(peer_lost, {{"peer", node.str()}});
        }
    }
    state_.nodes = peers_.size() + 1;
    if (table_era_) { // Before, a node would take itself for the only one.
        state_.limits.set_nodes(state_.settings.node, limit_sharers());
    }
    state_.brittle.set_nodes(limit_sharers().size() + 1);
    state_.admission.shares().set_nodes(live_nodes);
    state_.caps.set_nodes(live_nodes, state_.nodes, heartbeat_period * periods_per_heartbeat());
    state_.retries.set_max(retry_budget::share_of(state_.settings.retry_allowance, state_.nodes));
    update_unreported_work();
}

void peer_exchange::update_demand(peer& sender, const std::map<service_id, double>& demand,
                                  micros since_last) const {
    // Heartbeats that waited in a buffer arrive together.
    const micros span = std::max<micros>(since_last, heartbeat_period * periods_per_heartbeat());
    const std::chrono::duration<double> seconds = span;
    sender.recent_demand.clear();
    for (const auto& [service, servers] : demand) {
        const auto before = sender.demand.find(service);
        if (before != sender.demand.end()) {
            const double work = demand_meter::work_between(before->second, servers, span);
            sender.recent_demand[service] = std::min(work / seconds.count(), max_reported_demand);
        }
    }
    sender.demand = demand;
}

void peer_exchange::update_unreported_work() {
    // A heartbeat is half a period old on average.
    const std::chrono::duration<double, std::micro> age =
        heartbeat_period * periods_per_heartbeat() / 2;
    state_.unreported_work.clear();
    for (const auto& [node, other] : peers_) {
        if (!is_live(other)) {
            continue;
        }
        for (const auto& [service, servers] : other.recent_demand) {
            state_.unreported_work[service] += std::chrono::duration_cast<micros>(age * servers);
        }
    }
}

std::vector<node_id> peer_exchange::limit_sharers() const {
    std::vector<node_id> sharers;
    for (const auto& [node, other] : peers_) {
        if (!other.is_leaving && !other.is_row_removed) {
            sharers.push_back(node);
        }
    }
    return sharers;
}

void peer_exchange::do_snapshot(const std::vector<stored_row>& rows, store_position at) {
    // A restored store may lack the rows of live peers, which write them again.
    const std::optional<store_era> era_before = std::exchange(table_era_, at.era);
    const bool is_restored = era_before && era_before != at.era;
    for (auto& [node, other] : peers_) {
        (is_restored ? other.is_row_lost : other.is_row_removed) = true;
    }
    for (const stored_row& row : rows) {
        update_peer(row);
    }
    const bool has_own_row = std::any_of(rows.begin(), rows.end(), [this](const auto& row) {
        return row.key == state_.settings.node.str();
    });
    if (!has_own_row || is_restored) {
        write_own_row();
    }
}

void peer_exchange::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        if (!row.removed) {
            update_peer(row);
        } else if (row.key == state_.settings.node.str()) {
            write_own_row(); // Another node considered this one dead.
        } else if (const auto found = peers_.find(node_id(row.key)); found != peers_.end()) {
            // A stopping node removes its row first and reports its last calls until it exits.
            found->second.is_row_removed = true;
        }
    }
}

void peer_exchange::update_peer(const stored_row& row) {
    if (row.key == state_.settings.node.str()) {
        return;
    }
    const absl::StatusOr<node_record> record = parse_record(row);
    if (!record.ok()) {
        state_.log.write(peer_message_rejected,
                         {{"peer", row.key}, {"why", std::string(record.status().message())}});
        return;
    }
    peer& other = peers_[record->node];
    if (other.record.start != record->start) {
        other = peer{};
        other.first_seen = state_.time.now();
    }
    other.record = *record;
    other.is_row_removed = false;
    other.is_row_lost = false;
}

std::vector<directory_entry> peer_exchange::directory() const {
    // Nodes that do not reach the servers are named only while none does.
    const bool any_reaches_servers = !state_.links.are_lost() || !forwarding_peers().empty();
    std::vector<directory_entry> live;
    std::vector<directory_entry> recently_live;
    for (const auto& [node, other] : peers_) {
        if (other.is_leaving || other.is_row_removed || !other.is_ready ||
            (any_reaches_servers && !other.reaches_servers)) {
            continue;
        }
        if (is_live(other)) {
            live.push_back({other.record.callers, other.cores});
        } else if (other.last_heard && state_.time.now() - *other.last_heard < recent_period) {
            recently_live.push_back({other.record.callers, other.cores});
        }
    }
    // A node that hears no peer is more likely cut off itself than all peers dead.
    std::vector<directory_entry> entries = live_peers() == 0 ? recently_live : live;
    const bool names_itself =
        state_.is_ready() && !(state_.links.are_lost() && any_reaches_servers);
    if (names_itself || entries.empty()) {
        entries.push_back({state_.settings.caller_endpoint, state_.settings.cores});
    }
    return entries;
}

std::vector<forwarding_peer> peer_exchange::forwarding_peers() const {
    std::vector<forwarding_peer> peers;
    for (const auto& [node, other] : peers_) {
        if (is_live(other) && other.is_ready && !other.is_leaving && other.reaches_servers) {
            peers.push_back({node, other.record.peers});
        }
    }
    return peers;
}

std::size_t peer_exchange::live_peers() const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [this](const auto& item) { return is_live(item.second); }));
}

bool peer_exchange::is_duty_candidate() const {
    constexpr std::ptrdiff_t max_candidates = 3;
    const auto preceding = std::count_if(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.first < state_.settings.node && is_live(item.second) && !item.second.is_leaving;
    });
    return preceding < max_candidates;
}

std::optional<endpoint> peer_exchange::oldest_peer() const {
    const peer* oldest = nullptr;
    for (const auto& [node, other] : peers_) {
        if (is_live(other) && other.has_usage_history &&
            (oldest == nullptr || other.record.start < oldest->record.start)) {
            oldest = &other;
        }
    }
    return oldest == nullptr ? std::nullopt : std::optional(oldest->record.peers);
}

std::optional<endpoint> peer_exchange::peer_with_newer_table(std::size_t index,
                                                             store_position known) const {
    std::vector<endpoint> newer;
    for (const auto& [node, other] : peers_) {
        if (is_live(other) && index < other.table_changes.size() &&
            other.table_changes[index] > known) {
            newer.push_back(other.record.peers);
        }
    }
    return newer.empty() ? std::nullopt : std::optional(newer[state_.random.below(newer.size())]);
}

bool peer_exchange::is_table_reader() const {
    std::vector<table_reader_candidate> others;
    for (const auto& [node, other] : peers_) {
        const bool is_silent_reader = other.follows_tables && !is_live_table_reader(other);
        if (is_live(other) && !other.is_leaving && !is_silent_reader) {
            others.push_back({node, other.cores, other.reaches_store});
        }
    }
    return is_among_readers({state_.settings.node, state_.settings.cores, reaches_store_}, others);
}

bool peer_exchange::has_live_table_reader() const {
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        const peer& other = item.second;
        // Without its eras, a peer's tables cannot be told to be newer than this node's.
        const bool is_comparable =
            other.names_eras || store_.era().value_or(store_era()) == store_era();
        return is_comparable && is_live_table_reader(other);
    });
}

std::uint64_t peer_exchange::own_config_version() const {
    return state_.config ? state_.config->version() : 0;
}

std::optional<endpoint> peer_exchange::peer_with_newer_config() const {
    const peer* newest = nullptr;
    for (const auto& [node, other] : peers_) {
        if (is_live(other) && other.config_version > own_config_version() &&
            (newest == nullptr || other.config_version > newest->config_version)) {
            newest = &other;
        }
    }
    return newest == nullptr ? std::nullopt : std::optional(newest->record.peers);
}

bool peer_exchange::has_peer_holding_duties() const {
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.second.holds_duties && is_live(item.second);
    });
}

bool peer_exchange::has_heard_all_since(time_point since) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        return !is_live(item.second) || *item.second.last_heard >= since;
    });
}

std::map<service_id, double> peer_exchange::total_demand() const {
    std::map<service_id, double> total = state_.demand.busy_servers(state_.time.now());
    for (const auto& [node, other] : peers_) {
        if (is_live(other)) {
            for (const auto& [service, servers] : other.demand) {
                total[service] += servers;
            }
        }
    }
    return total;
}

void peer_exchange::remove_dead_rows() {
    row_transaction removal;
    for (const auto& [node, other] : peers_) {
        if (!is_live(other) &&
            state_.time.now() - other.last_heard.value_or(other.first_seen) >= dead_row_timeout) {
            removal.removals.push_back({table, node.str()});
        }
    }
    // A node that hears no peer cannot tell which nodes are dead.
    if (removal.removals.empty() || live_peers() == 0) {
        return;
    }
    store_.commit(removal, [this](const absl::StatusOr<row_version>& result) {
        if (!result.ok()) {
            state_.log.write(dead_rows_not_removed,
                             {{"why", std::string(result.status().message())}});
        }
    });
}

} // namespace jujubetide
