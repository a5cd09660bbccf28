#include "support/row_store_server.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <map>

namespace jujubetide {
namespace {

using json = nlohmann::json;

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int gone_status = 410;
constexpr int precondition_failed_status = 412;
constexpr int no_answer_status = 500;
constexpr int unavailable_status = 503;

/// The parameters of a request's query. The names and keys of tests need no decoding.
std::map<std::string, std::string> query_of(const std::string& target) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(target, absl::MaxSplits('?', 1));
    std::map<std::string, std::string> query;
    for (const absl::string_view field : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
        query.insert(
            std::pair<std::string, std::string>(absl::StrSplit(field, absl::MaxSplits('=', 1))));
    }
    return query;
}

int status_of(const absl::Status& failure) {
    switch (failure.code()) {
    case absl::StatusCode::kOutOfRange:
        return gone_status;
    case absl::StatusCode::kAborted:
        return precondition_failed_status;
    case absl::StatusCode::kUnavailable:
        return unavailable_status;
    default:
        return no_answer_status;
    }
}

void respond(http1_exchange& exchange, std::optional<store_era> era, int status, const json& body) {
    header_list headers;
    headers.add("Content-Type", "application/json");
    headers.add("Store-Era", std::to_string(era.value_or(store_era()).value()));
    exchange.respond(status, headers, body.dump());
}

void respond_with_rows(http1_exchange& exchange, std::optional<store_era> era,
                       const absl::StatusOr<row_batch>& batch) {
    if (!batch.ok()) {
        respond(exchange, era, status_of(batch.status()), json::object());
        return;
    }
    json rows = json::array();
    for (const stored_row& row : batch->rows) {
        rows.push_back({{"part", ""},
                        {"key", row.key},
                        {"value", absl::Base64Escape(row.value)},
                        {"ver", row.version.value()},
                        {"deleted", row.removed}});
    }
    respond(exchange, era, ok_status,
            {{"ver", batch->version.value()}, {"rows", rows}, {"morePages", batch->has_more}});
}

} // namespace

row_store_server::row_store_server(event_loop& loop, const clock& time, fake_row_store& store)
    : store_(store), server_(*http1_server::make(loop, time, {"127.0.0.1", 0}, *this)) {}

std::shared_ptr<exchange_events>
row_store_server::do_request(request_head head, std::string body, time_point,
                             std::shared_ptr<http1_exchange> exchange) {
    if (!fixed_body_.empty()) {
        exchange->respond(ok_status, {}, fixed_body_);
        return nullptr;
    }
    auto query = query_of(head.target);
    const auto answer = [this, exchange](const absl::StatusOr<row_batch>& batch) {
        respond_with_rows(*exchange, store_.era(), batch);
    };
    if (absl::StartsWith(head.target, "/v1/rows-get?")) {
        store_.read(query["table"], query["from"], answer);
    } else if (absl::StartsWith(head.target, "/v1/rows-feed?")) {
        store_.changes(query["table"], row_version(std::stoull(query["after"])),
                       millis(std::stoll(query["waitMs"])), answer);
    } else if (head.target == "/v1/rows-tx") {
        commit(body, exchange);
    } else {
        respond(*exchange, store_.era(), bad_request_status, json::object());
    }
    return nullptr;
}

void row_store_server::commit(const std::string& body,
                              const std::shared_ptr<http1_exchange>& exchange) {
    const json document = json::parse(body);
    row_transaction transaction;
    for (const json& row : document.at("expect")) {
        transaction.expected.push_back(
            {row.at("table"), row.at("key"), row_version(row.at("ver").get<std::uint64_t>())});
    }
    for (const json& row : document.at("put")) {
        std::string value;
        absl::Base64Unescape(row.at("value").get<std::string>(), &value);
        transaction.puts.push_back({row.at("table"), row.at("key"), value});
    }
    for (const json& row : document.at("remove")) {
        transaction.removals.push_back({row.at("table"), row.at("key")});
    }
    store_.commit(transaction, [this, exchange](const absl::StatusOr<row_version>& version) {
        if (version.ok()) {
            respond(*exchange, store_.era(), ok_status, {{"ver", version->value()}});
        } else {
            respond(*exchange, store_.era(), status_of(version.status()),
                    {{"rows", json::array()}});
        }
    });
}

} // namespace jujubetide
