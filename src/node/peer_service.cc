#include "node/peer_service.h"

#include "node/node_events.h"
#include "node/peer_messages.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {
namespace {

constexpr const char* usage_path = "/usage";
constexpr const char* rows_path = "/rows/";
constexpr int ok_status = 200;
constexpr int not_found = 404;
/// How often it is looked at whether something is to be fetched.
constexpr micros look_period{250'000};
constexpr micros fetch_timeout{1'000'000};
/// A node that hears nobody for this long after its start has nobody to ask.
constexpr micros alone_time{2'500'000};

} // namespace

absl::StatusOr<std::unique_ptr<peer_service>>
peer_service::make(serving_state& state, peer_exchange& peers, std::vector<shared_table> tables) {
    std::unique_ptr<peer_service> made(new peer_service(state, peers, std::move(tables)));
    auto server = http1_server::make(state.loop, state.time, state.settings.peers, *made);
    if (!server.ok()) {
        return server.status();
    }
    made->server_ = *std::move(server);
    return made;
}

peer_service::peer_service(serving_state& state, peer_exchange& peers,
                           std::vector<shared_table> tables)
    : state_(state), peers_(peers), tables_(std::move(tables)) {}

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
        if (tables_[i].follower.is_away()) {
            fetch_table(i);
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

void peer_service::fetch_table(std::size_t index) {
    shared_table& table = tables_[index];
    const auto newer = peers_.peer_with_newer(index, table.follower.at());
    if (!newer) {
        return;
    }
    fetch(*newer, rows_path + table.name, [this, index](const std::string& body) {
        const auto batch = decode_rows(body);
        if (!batch.ok()) {
            state_.log.write(peer_message_rejected,
                             {{"why", std::string(batch.status().message())}});
            return;
        }
        if (tables_[index].follower.adopt(*batch)) {
            state_.log.write(table_from_peer, {{"table", tables_[index].name},
                                               {"at", absl::StrCat(batch->at.value())}});
        }
    });
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
    for (const shared_table& table : tables_) {
        if (head.target == rows_path + table.name) {
            row_batch batch;
            batch.at = table.follower.at();
            batch.rows = table.mirror.rows();
            exchange->respond(ok_status, {}, encode(batch));
            return nullptr;
        }
    }
    exchange->respond(not_found, {}, do_error_body(not_found));
    return nullptr;
}

std::string peer_service::do_error_body(int status) const {
    return std::string(reason_phrase(status));
}

} // namespace jujubetide
