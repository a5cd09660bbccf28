#include "node/peer_service.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>

#include <charconv>
#include <utility>

namespace jujubetide {
namespace {

constexpr const char* usage_path = "/usage";
constexpr const char* rows_path = "/rows/";
/// Follows a table's name in a request for what changed after a version.
constexpr const char* after_query = "?after=";
constexpr int ok_status = 200;
constexpr int not_found = 404;
/// How often it is looked at whether something is to be fetched.
constexpr micros look_period{250'000};
constexpr micros fetch_timeout{1'000'000};
/// A node that hears nobody for this long after its start has nobody to ask.
constexpr micros alone_time{2'500'000};
/// A table that a node follows itself comes from a peer where it lags by this long: its connection
/// to the store may be dead without a sign.
constexpr micros longest_lag{500'000};

bool take_prefix(std::string_view& text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return false;
    }
    text.remove_prefix(prefix.size());
    return true;
}

} // namespace

absl::StatusOr<std::unique_ptr<peer_service>>
peer_service::make(serving_state& state, peer_exchange& peers, std::vector<shared_table> tables) {
    std::unique_ptr<peer_service> made(new peer_service(state, peers, std::move(tables)));
    auto server = http1_server::make(state.loop, state.time, state.settings.peer_endpoint, *made);
    if (!server.ok()) {
        return server.status();
    }
    made->server_ = *std::move(server);
    return made;
}

peer_service::peer_service(serving_state& state, peer_exchange& peers,
                           std::vector<shared_table> tables)
    : state_(state), peers_(peers), tables_(std::move(tables)), behind_since_(tables_.size()) {}

void peer_service::start() {
    started_ = state_.time.now();
    timer_ = state_.timers.every(look_period, look_period, [this] { look(); });
}

void peer_service::look() {
    peers_.set_knows_usage(knows_usage_);
    if (running_) {
        return;
    }
    if (!knows_usage_) {
        fetch_usage();
        return;
    }
    for (std::size_t i = 0; i < tables_.size(); ++i) {
        if (fetch_table(i)) {
            return;
        }
    }
}

void peer_service::fetch_usage() {
    const std::optional<endpoint> oldest = peers_.oldest_peer();
    if (!oldest) {
        knows_usage_ = state_.time.now() - started_ >= alone_time;
        return;
    }
    fetch(*oldest, usage_path, [this](const std::string& body) {
        const auto records = decode_usage(body);
        if (!records.ok()) {
            state_.log.write(peer_message_rejected,
                             {{"why", std::string(records.status().message())}});
            return;
        }
        knows_usage_ = true;
        for (const usage_record& record : *records) {
            if (record.node != state_.settings.node || record.start != peers_.start_number()) {
                state_.usage.on_peer_counts(record.node, record.start, record.window,
                                            record.counts);
            }
        }
    });
}

bool peer_service::needs_peer(std::size_t index, bool is_newer) {
    std::optional<time_point>& behind_since = behind_since_[index];
    if (!is_newer) {
        behind_since.reset();
        return false;
    }
    const time_point now = state_.time.now();
    if (!behind_since) {
        behind_since = now;
    }
    const table_follower& follower = tables_[index].follower;
    const bool hears_store = follower.is_following() && !follower.is_away();
    return !hears_store || now - *behind_since >= longest_lag;
}

bool peer_service::fetch_table(std::size_t index) {
    shared_table& table = tables_[index];
    const row_version known = table.follower.at();
    const auto newer = peers_.peer_with_newer(index, known);
    if (!needs_peer(index, newer.has_value())) {
        return false;
    }
    fetch(*newer, absl::StrCat(rows_path, table.name, after_query, known.value()),
          [this, index](const std::string& body) { adopt(index, body); });
    return true;
}

void peer_service::adopt(std::size_t index, const std::string& body) {
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
                                           {"at", absl::StrCat(rows->batch.at.value())},
                                           {"rows", absl::StrCat(rows->batch.rows.size())}});
    }
}

void peer_service::fetch(const endpoint& from, const std::string& path,
                         std::function<void(const std::string&)> take) {
    header_list headers;
    headers.add("Host", from.str());
    call_options options;
    options.timeout = fetch_timeout;
    running_ = collected_call::start(
        state_.client, from, serialize_request("GET", path, headers, ""), options,
        [this, take = std::move(take)](const whole_response* response, call_failure) {
            const auto finished = std::move(running_);
            // A fetch that failed is tried again at the next look.
            if (response != nullptr && response->status == ok_status) {
                take(response->body);
            }
        });
}

std::shared_ptr<exchange_events>
peer_service::do_request(request_head head, std::string, time_point,
                         std::shared_ptr<http1_exchange> exchange) {
    if (head.target == usage_path) {
        exchange->respond(ok_status, {},
                          encode(state_.usage.all(state_.settings.node, peers_.start_number())));
        return nullptr;
    }
    if (const auto rows = rows_for(head.target)) {
        exchange->respond(ok_status, {}, encode(*rows));
        return nullptr;
    }
    exchange->respond(not_found, {}, do_error_body(not_found));
    return nullptr;
}

std::optional<table_rows> peer_service::rows_for(std::string_view target) const {
    for (const shared_table& table : tables_) {
        std::string_view rest = target;
        if (!take_prefix(rest, rows_path) || !take_prefix(rest, table.name)) {
            continue;
        }
        table_rows rows;
        rows.batch.at = table.follower.at();
        std::uint64_t after = 0;
        if (take_prefix(rest, after_query) &&
            std::from_chars(rest.data(), rest.data() + rest.size(), after).ec == std::errc()) {
            if (auto changes = table.mirror.changes_after(row_version(after))) {
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

} // namespace jujubetide
