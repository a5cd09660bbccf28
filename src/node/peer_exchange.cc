#include "node/peer_exchange.h"

#include "node/node_events.h"
#include "node/table_readers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

using json = nlohmann::json;

/// A node that hears no other still names those that it heard within this time.
constexpr micros lately{5'000'000};
/// The row of a node that was not heard for this long is removed; if it lives it writes it again.
constexpr micros row_lifetime{20'000'000};
/// One of so many digests tells all usage; the others what changed lately.
constexpr int digests_of_whole = 8;
/// Wait before the own row is written again after a failure.
constexpr micros row_retry{500'000};

std::string to_text(const node_record& record) {
    return json{{"start", record.start.value()},
                {"callers", record.callers.str()},
                {"peers", record.peers.str()},
                {"failure_domain", record.failure_domain.str()}}
        .dump();
}

absl::StatusOr<node_record> parse_record(const stored_row& row) {
    try {
        const json body = json::parse(row.value);
        const auto callers = parse_endpoint(body.at("callers").get<std::string>());
        const auto peers = parse_endpoint(body.at("peers").get<std::string>());
        if (!callers.ok() || !peers.ok()) {
            return absl::InvalidArgumentError("not an address");
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
    std::unique_ptr<peer_exchange> made(new peer_exchange(state, store, start));
    auto socket = udp_socket::make(
        state.loop, state.settings.peer_endpoint,
        [exchange = made.get()](std::string_view bytes) { exchange->receive(bytes); });
    if (!socket.ok()) {
        return socket.status();
    }
    made->socket_ = *std::move(socket);
    return made;
}

peer_exchange::peer_exchange(serving_state& state, row_store& store, incarnation start)
    : state_(state), store_(store), start_(start) {}

void peer_exchange::start() {
    row_wanted_ = true;
    write_own_row();
    digest_timer_ = state_.timers.every(digest_period, digest_period, [this] {
        look();
        if (++periods_since_told_ >= periods_between()) {
            tell();
        }
    });
}

void peer_exchange::write_own_row() {
    if (row_pending_ || !row_wanted_) {
        return;
    }
    row_pending_ = true;
    const node_record own{state_.settings.node, start_, state_.settings.caller_endpoint,
                          state_.settings.peer_endpoint, state_.settings.failure_domain};
    row_transaction write;
    write.puts.push_back({table, own.node.str(), to_text(own)});
    store_.commit(write, [this](const absl::StatusOr<row_version>& done) {
        row_pending_ = false;
        if (done.ok()) {
            return;
        }
        state_.log.write(own_row_not_written, {{"why", std::string(done.status().message())}});
        row_timer_ = state_.timers.once(row_retry, [this] { write_own_row(); });
    });
}

void peer_exchange::leave() {
    row_wanted_ = false;
    // Datagrams get lost at times.
    constexpr int copies = 2;
    for (int i = 0; i < copies; ++i) {
        tell();
    }
    row_transaction removal;
    removal.removals.push_back({table, state_.settings.node.str()});
    store_.commit(removal, [this](const absl::StatusOr<row_version>& done) {
        if (!done.ok()) {
            state_.log.write(own_row_not_written, {{"why", std::string(done.status().message())}});
        }
    });
}

void peer_exchange::set_store_access(bool reaches, bool follows) {
    reaches_store_ = reaches;
    follows_tables_ = follows;
}

void peer_exchange::tell() {
    periods_since_told_ = 0;
    peer_digest digest;
    digest.node = state_.settings.node;
    digest.start = start_;
    digest.is_ready = state_.is_ready();
    digest.is_leaving = state_.stopping;
    digest.cores = state_.settings.cores;
    digest.reaches_store = reaches_store_;
    digest.follows_tables = follows_tables_;
    if (table_versions_) {
        digest.table_versions = table_versions_();
    }
    digest.knows_usage = knows_usage_;
    digest.holds_duties = lease_.has_value();
    if (lease_) {
        digest.lease_record = jujubetide::to_text(lease_->record);
        digest.lease_version = lease_->version;
    }
    add_usage(digest);
    digest.loads = state_.loads.own();
    digest.readings = state_.prompts.take_news();
    digest.demand = state_.demand.all(state_.time.now());
    const std::string bytes = encode(digest);
    for (const auto& [node, one] : peers_) {
        socket_->send(one.record.peers, bytes);
    }
}

void peer_exchange::add_usage(peer_digest& digest) {
    const bool is_whole = state_.stopping || told_since_whole_ == 0;
    told_since_whole_ = (told_since_whole_ + 1) % digests_of_whole;
    digest.usage = state_.usage.own();
    if (is_whole) {
        digest.spending = state_.caps.spending(state_.time.now());
        return;
    }
    digest.spending = state_.caps.recent_spending(state_.time.now());
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    std::erase_if(digest.usage,
                  [current](const auto& item) { return item.first.value() + 1 < current.value(); });
}

void peer_exchange::receive(std::string_view bytes) {
    const absl::StatusOr<peer_digest> digest = decode_digest(bytes);
    if (!digest.ok()) {
        state_.log.write(peer_message_rejected, {{"why", std::string(digest.status().message())}});
        return;
    }
    const auto found = peers_.find(digest->node);
    if (found == peers_.end() || digest->start < found->second.record.start) {
        return;
    }
    peer& from = found->second;
    const time_point now = state_.time.now();
    if (!std::exchange(from.was_live, true)) {
        state_.log.write(peer_found, {{"peer", digest->node.str()}});
    }
    from.record.start = digest->start;
    from.heard = now;
    from.is_ready = digest->is_ready;
    from.is_leaving = digest->is_leaving;
    from.cores = digest->cores;
    from.reaches_store = digest->reaches_store;
    from.follows_tables = digest->follows_tables;
    from.holds_duties = digest->holds_duties;
    from.knows_usage = digest->knows_usage;
    from.table_versions = digest->table_versions;
    from.demand = digest->demand;
    if (digest->holds_duties && lease_told_) {
        if (const auto record = parse_lease_record(digest->lease_record); record.ok()) {
            lease_told_({*record, digest->lease_version});
        }
    }
    state_.caps.on_peer_spending(digest->node, digest->start, digest->spending, now);
    for (const auto& [window, counts] : digest->usage) {
        state_.usage.on_peer_counts(digest->node, digest->start, window, counts);
    }
    state_.loads.set_peer(digest->node, digest->loads);
    for (const prefix_reading& one : digest->readings) {
        state_.prompts.on_read(one.key, one.server, now);
    }
    if (newer_told_ && knows_newer(from)) {
        newer_told_();
    }
}

bool peer_exchange::knows_newer(const peer& one) const {
    const std::vector<row_version> own =
        table_versions_ ? table_versions_() : std::vector<row_version>();
    for (std::size_t i = 0; i < own.size() && i < one.table_versions.size(); ++i) {
        if (one.table_versions[i] > own[i]) {
            return true;
        }
    }
    return false;
}

int peer_exchange::periods_between() const {
    return 1 + static_cast<int>(peers_.size() / peers_of_period);
}

micros peer_exchange::silence_limit() const {
    return usage_cap::silence_limit_at(digest_period * periods_between());
}

bool peer_exchange::lives(const peer& one) const {
    return one.heard && state_.time.now() - *one.heard < silence_limit();
}

void peer_exchange::look() {
    std::erase_if(
        peers_, [this](const auto& item) { return item.second.row_gone && !item.second.was_live; });
    std::size_t heard = 1;
    for (auto& [node, one] : peers_) {
        if (lives(one)) {
            ++heard;
        } else if (one.was_live) {
            one.was_live = false;
            state_.loads.forget_peer(node);
            state_.log.write(peer_lost, {{"peer", node.str()}});
        }
    }
    state_.nodes = peers_.size() + 1;
    state_.caps.set_nodes(heard, state_.nodes, digest_period * periods_between());
    state_.retries.set_max(retry_budget::share_of(state_.settings.retry_allowance, state_.nodes));
}

void peer_exchange::do_table(const std::vector<stored_row>& rows, row_version) {
    for (auto& [node, one] : peers_) {
        one.row_gone = true;
    }
    for (const stored_row& row : rows) {
        put_row(row);
    }
    const bool own_is_there = std::any_of(rows.begin(), rows.end(), [this](const auto& row) {
        return row.key == state_.settings.node.str();
    });
    if (!own_is_there) {
        write_own_row();
    }
}

void peer_exchange::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        if (!row.removed) {
            put_row(row);
        } else if (row.key == state_.settings.node.str()) {
            write_own_row(); // Another node took this one for dead.
        } else if (const auto found = peers_.find(node_id(row.key)); found != peers_.end()) {
            // A node that stops removes its row first and tells of its last calls until its end.
            found->second.row_gone = true;
        }
    }
}

void peer_exchange::put_row(const stored_row& row) {
    if (row.key == state_.settings.node.str()) {
        return;
    }
    const absl::StatusOr<node_record> record = parse_record(row);
    if (!record.ok()) {
        state_.log.write(peer_message_rejected,
                         {{"peer", row.key}, {"why", std::string(record.status().message())}});
        return;
    }
    peer& one = peers_[record->node];
    if (one.record.start != record->start) {
        one = peer{};
        one.known_since = state_.time.now();
    }
    one.record = *record;
    one.row_gone = false;
}

std::vector<directory_entry> peer_exchange::directory() const {
    std::vector<directory_entry> live;
    std::vector<directory_entry> lately_live;
    for (const auto& [node, one] : peers_) {
        if (one.is_leaving || one.row_gone || !one.is_ready) {
            continue;
        }
        if (lives(one)) {
            live.push_back({one.record.callers, one.cores});
        } else if (one.heard && state_.time.now() - *one.heard < lately) {
            lately_live.push_back({one.record.callers, one.cores});
        }
    }
    // A node that hears nobody is likely cut off itself, rather than all others dead.
    std::vector<directory_entry> entries = live_peers() == 0 ? lately_live : live;
    if (state_.is_ready() || entries.empty()) {
        entries.push_back({state_.settings.caller_endpoint, state_.settings.cores});
    }
    return entries;
}

std::size_t peer_exchange::live_peers() const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [this](const auto& item) { return lives(item.second); }));
}

bool peer_exchange::is_among_first() const {
    constexpr std::ptrdiff_t candidates = 3;
    const auto before = std::count_if(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.first < state_.settings.node && lives(item.second) && !item.second.is_leaving;
    });
    return before < candidates;
}

std::optional<endpoint> peer_exchange::oldest_peer() const {
    const peer* oldest = nullptr;
    for (const auto& [node, one] : peers_) {
        if (lives(one) && one.knows_usage &&
            (oldest == nullptr || one.record.start < oldest->record.start)) {
            oldest = &one;
        }
    }
    return oldest == nullptr ? std::nullopt : std::optional(oldest->record.peers);
}

std::optional<endpoint> peer_exchange::peer_with_newer(std::size_t index, row_version than) const {
    std::vector<endpoint> newer;
    for (const auto& [node, one] : peers_) {
        if (lives(one) && index < one.table_versions.size() && one.table_versions[index] > than) {
            newer.push_back(one.record.peers);
        }
    }
    return newer.empty() ? std::nullopt : std::optional(newer[state_.random.below(newer.size())]);
}

bool peer_exchange::is_table_reader() const {
    std::vector<table_reader_candidate> others;
    for (const auto& [node, one] : peers_) {
        if (lives(one) && !one.is_leaving) {
            others.push_back({node, one.cores, one.reaches_store});
        }
    }
    return is_among_readers({state_.settings.node, state_.settings.cores, reaches_store_}, others);
}

bool peer_exchange::hears_table_reader() const {
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        const peer& one = item.second;
        return one.follows_tables && one.reaches_store && lives(one) && !one.is_leaving;
    });
}

bool peer_exchange::peer_holds_duties() const {
    return std::any_of(peers_.begin(), peers_.end(), [this](const auto& item) {
        return item.second.holds_duties && lives(item.second);
    });
}

bool peer_exchange::all_heard_since(time_point since) const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        return !lives(item.second) || *item.second.heard >= since;
    });
}

std::map<service_id, double> peer_exchange::total_demand() const {
    std::map<service_id, double> total = state_.demand.all(state_.time.now());
    for (const auto& [node, one] : peers_) {
        if (lives(one)) {
            for (const auto& [service, servers] : one.demand) {
                total[service] += servers;
            }
        }
    }
    return total;
}

void peer_exchange::remove_dead_rows() {
    row_transaction removal;
    for (const auto& [node, one] : peers_) {
        if (!lives(one) &&
            state_.time.now() - one.heard.value_or(one.known_since) >= row_lifetime) {
            removal.removals.push_back({table, node.str()});
        }
    }
    // A node that hears nobody cannot tell who is dead.
    if (removal.removals.empty() || live_peers() == 0) {
        return;
    }
    store_.commit(removal, [this](const absl::StatusOr<row_version>& done) {
        if (!done.ok()) {
            state_.log.write(dead_rows_not_removed,
                             {{"why", std::string(done.status().message())}});
        }
    });
}

} // namespace jujubetide
