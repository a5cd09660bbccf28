#include "node/peer_service.h"

#include "node/eviction_record.h"
#include "node/node_events.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujubetide {
namespace {

constexpr const char* usage_path = "/usage";
constexpr const char* rows_path = "/rows/";
constexpr const char* config_path = "/config";
/// Follows the table's name in a request for the rows that changed after a version.
constexpr const char* after_query = "?after=";
/// Follows the version; nodes of earlier releases leave it out.
constexpr const char* era_query = "&era=";
constexpr int ok_status = 200;
constexpr int not_found_status = 404;
/// Period of the check for data to fetch.
constexpr micros fetch_check_period{250'000};
constexpr micros fetch_timeout{1'000'000};
/// A node that hears no peer for this long after its start has no peer to fetch usage from.
constexpr micros peer_wait_timeout{2'500'000};
/// A table that a node follows itself is fetched from a peer once it lags by this long: the
/// connection to the store may be dead without an error.
constexpr micros max_table_lag{500'000};

bool consume_number(std::string_view& text, std::uint64_t& number) {
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
    return result.ec == std::errc();
}

bool consume_prefix(std::string_view& text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

} // namespace

absl::StatusOr<std::unique_ptr<peer_service>> peer_service::make(serving_state& state,
                                                                 peer_exchange& peers,
                                                                 std::vector<shared_table> tables,
                                                                 config_observer& configs) {
    std::unique_ptr<peer_service> result(
        new peer_service(state, peers, std::move(tables), configs));
    auto server = http1_server::make(state.loop, state.time, state.settings.peer_endpoint, *result);
    if (!server.ok()) {
        return server.status();
    }
    result->server_ = *std::move(server);
    return result;
}

peer_service::peer_service(serving_state& state, peer_exchange& peers,
                           std::vector<shared_table> tables, config_observer& configs)
    : state_(state), peers_(peers), tables_(std::move(tables)), configs_(configs),
      forwarder_(state), lagging_since_(tables_.size()) {}

void peer_service::start() {
    started_ = state_.time.now();
    timer_ =
        state_.timers.every(fetch_check_period, fetch_check_period, [this] { fetch_missing(); });
}

void peer_service::fetch_missing() {
    peers_.set_has_usage_history(has_usage_history_);
    // A peer that does not send its usage counts holds up nothing else.
    if (!has_usage_history_ && !usage_fetch_) {
        fetch_usage();
    }
    if (running_fetch_) {
        return;
    }
    for (std::size_t i = 0; i < tables_.size(); ++i) {
        if (fetch_table(i)) {
            return;
        }
    }
    fetch_config();
}

void peer_service::fetch_config() {
    const std::optional<endpoint> newer = peers_.peer_with_newer_config();
    if (!newer) {
        config_lagging_since_.reset();
        return;
    }
    const time_point now = state_.time.now();
    if (!config_lagging_since_) {
        config_lagging_since_ = now;
    }
    // The store is about to show it to this node too, unless it was restored.
    if (now - *config_lagging_since_ < max_table_lag) {
        return;
    }
    fetch(running_fetch_, *newer, config_path, [this](const std::string& body) {
        const auto rows = decode_rows(body);
        if (!rows.ok()) {
            state_.log.write(peer_message_rejected,
                             {{"why", std::string(rows.status().message())}});
            return;
        }
        for (const stored_row& row : rows->batch.rows) {
            configs_.apply(row);
        }
    });
}

void peer_service::fetch_usage() {
    const std::optional<endpoint> oldest = peers_.oldest_peer();
    if (!oldest) {
        has_usage_history_ = state_.time.now() - started_ >= peer_wait_timeout;
        return;
    }
    fetch(usage_fetch_, *oldest, usage_path, [this](const std::string& body) {
        const auto records = decode_usage(body);
        if (!records.ok()) {
            state_.log.write(peer_message_rejected,
                             {{"why", std::string(records.status().message())}});
            return;
        }
        has_usage_history_ = true;
        for (const usage_record& record : *records) {
            if (record.node != state_.settings.node || record.start != peers_.own_incarnation()) {
                state_.usage.on_peer_counts(record.node, record.start, record.window,
                                            record.counts);
            }
        }
    });
}

bool peer_service::should_fetch_from_peer(std::size_t index, bool has_newer) {
    std::optional<time_point>& lagging_since = lagging_since_[index];
    if (!has_newer) {
        lagging_since.reset();
        return false;
    }
    const time_point now = state_.time.now();
    if (!lagging_since) {
        lagging_since = now;
    }
    const table_follower& follower = tables_[index].follower;
    const bool receives_changes = follower.is_following() && !follower.is_store_unavailable();
    return !receives_changes || now - *lagging_since >= max_table_lag;
}

bool peer_service::fetch_table(std::size_t index) {
    shared_table& table = tables_[index];
    const store_position own = table.follower.position();
    const auto newer = peers_.peer_with_newer_table(index, own);
    if (!should_fetch_from_peer(index, newer.has_value())) {
        return false;
    }
    fetch(running_fetch_, *newer,
          absl::StrCat(rows_path, table.name, after_query, own.version.value(), era_query,
                       own.era.value()),
          [this, index](const std::string& body) { apply_rows(index, body); });
    return true;
}

void peer_service::apply_rows(std::size_t index, const std::string& body) {
    const auto rows = decode_rows(body);
    if (!rows.ok()) {
        state_.log.write(peer_message_rejected, {{"why", std::string(rows.status().message())}});
        return;
    }
    shared_table& table = tables_[index];
    const bool is_new = rows->changed_after
                            ? table.follower.adopt_changes(rows->batch, *rows->changed_after)
                            : table.follower.adopt(rows->batch);
    if (is_new) {
        state_.log.write(table_from_peer, {{"table", table.name},
                                           {"at", absl::StrCat(rows->batch.version.value())},
                                           {"rows", absl::StrCat(rows->batch.rows.size())}});
    }
}

void peer_service::fetch(std::unique_ptr<buffered_call>& call, const endpoint& from,
                         const std::string& path, std::function<void(const std::string&)> on_body) {
    header_list headers;
    headers.add("Host", from.str());
    call_options options;
    options.timeout = fetch_timeout;
    call = buffered_call::start(
        state_.client, from, serialize_request("GET", path, headers, ""), options,
        [this, &call, from, path, on_body = std::move(on_body)](const http1_response* response,
                                                                call_failure) {
            const auto finished = std::move(call);
            if (response != nullptr && response->status == ok_status) {
                on_body(response->body);
                return;
            }
            // The next `fetch_missing` tries again.
            state_.log.write(peer_fetch_failed,
                             {{"from", from.str()},
                              {"path", path},
                              {"status", absl::StrCat(response ? response->status : 0)}});
        });
}

std::shared_ptr<exchange_events>
peer_service::do_request(request_head head, std::string body, time_point,
                         std::shared_ptr<http1_exchange> exchange) {
    if (head.target == forward_path) {
        return forwarder_.forward(head, std::move(body), std::move(exchange));
    }
    if (head.target == usage_path) {
        exchange->respond(
            ok_status, {},
            encode(state_.usage.records(state_.settings.node, peers_.own_incarnation())));
        return nullptr;
    }
    if (head.target == config_path) {
        table_rows rows;
        if (configs_.row_in_force()) {
            rows.batch.rows.push_back(*configs_.row_in_force());
        }
        exchange->respond(ok_status, {}, encode(rows));
        return nullptr;
    }
    if (const auto rows = find_rows(head.target)) {
        exchange->respond(ok_status, {}, encode(*rows));
        return nullptr;
    }
    exchange->respond(not_found_status, {}, do_error_body(not_found_status));
    return nullptr;
}

void peer_service::set_limits(const caller_limits& callers, std::size_t max_connections) {
    // The request of a caller, with the headers that the node adds.
    constexpr std::size_t added_bytes = 4'096;
    http1_limits limits;
    limits.max_body_bytes = std::max(
        limits.max_body_bytes, callers.max_header_bytes + callers.max_body_bytes + added_bytes);
    limits.max_connections = max_connections;
    server_->set_limits(limits);
}

std::optional<table_rows> peer_service::find_rows(std::string_view target) const {
    for (const shared_table& table : tables_) {
        std::string_view rest = target;
        if (!consume_prefix(rest, rows_path) || !consume_prefix(rest, table.name)) {
            continue;
        }
        table_rows rows;
        rows.batch.version = table.follower.version();
        rows.batch.era = table.follower.position().era;
        std::uint64_t after = 0;
        if (consume_prefix(rest, after_query) && consume_number(rest, after)) {
            std::uint64_t era = table.mirror.era().value();
            const bool is_valid = !consume_prefix(rest, era_query) || consume_number(rest, era);
            auto changes = is_valid
                               ? table.mirror.changes_after({store_era(era), row_version(after)})
                               : std::nullopt;
            if (changes) {
                rows.changed_after = row_version(after);
                rows.batch.rows = *std::move(changes);
                return rows;
            }
        }
        rows.batch.rows = table.mirror.rows();
        return rows;
    }
    return std::nullopt;
}

std::string peer_service::do_error_body(int status) const {
    return std::string(reason_phrase(status));
}

void peer_service::do_eviction(eviction_cause cause) {
    record_eviction(state_, "peers", cause);
}

} // namespace jujubetide
