#include "control/fleet_store.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace jujubetide {
namespace {

using nlohmann::json;

constexpr const char* head_key = "fleet/head";
constexpr const char* hosts_prefix = "fleet/hosts/";
constexpr std::size_t rows_per_scan = 500;
constexpr std::array<const char*, 4> state_names{"wanted", "started", "draining", "stopped"};

std::string key_of(const fleet_row& row) {
    return hosts_prefix + row.start_id;
}

std::string encode(const fleet_row& row) {
    return json{{"start_id", row.start_id},
                {"service", row.service.str()},
                {"host_class", row.offer.host_class.str()},
                {"failure_domain", row.offer.failure_domain.str()},
                {"reclaimable", row.offer.reclaimable},
                {"host", row.host.str()},
                {"state", state_names.at(static_cast<std::size_t>(row.state))},
                {"since_ms", row.since.time_since_epoch().count()}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

fleet_row_state state_from(const std::string& name) {
    const auto* found = std::find(state_names.begin(), state_names.end(), name);
    if (found == state_names.end()) {
        throw std::invalid_argument("unknown state " + name);
    }
    return static_cast<fleet_row_state>(found - state_names.begin());
}

fleet_row row_from(const json& value) {
    fleet_row row;
    row.start_id = value.at("start_id").get<std::string>();
    row.service = service_id(value.at("service").get<std::string>());
    row.offer.host_class = host_class_id(value.at("host_class").get<std::string>());
    row.offer.failure_domain = failure_domain_id(value.at("failure_domain").get<std::string>());
    row.offer.reclaimable = value.at("reclaimable").get<bool>();
    row.host = host_id(value.at("host").get<std::string>());
    row.state = state_from(value.at("state").get<std::string>());
    row.since = wall_time(millis(value.at("since_ms").get<std::int64_t>()));
    return row;
}

template <class Value, class Read>
absl::StatusOr<Value> decode(const table_row& row, Read&& read) {
    try {
        return read(json::parse(row.value));
    } catch (const std::exception& error) {
        return absl::DataLossError(absl::StrCat("unreadable row ", row.key, ": ", error.what()));
    }
}

absl::StatusOr<std::vector<fleet_row>> decode_rows(const std::vector<table_row>& read) {
    std::vector<fleet_row> rows;
    for (const table_row& each : read) {
        absl::StatusOr<fleet_row> row = decode<fleet_row>(each, row_from);
        if (!row.ok()) {
            return row.status();
        }
        row->version = each.version;
        rows.push_back(*std::move(row));
    }
    return rows;
}

} // namespace

absl::StatusOr<fleet_record> fleet_store::read() {
    fleet_record record;
    const auto head = table_.get(head_key);
    if (!head.ok()) {
        return head.status();
    }
    if (*head) {
        const auto number = decode<std::uint64_t>(
            **head, [](const json& value) { return value.at("next").get<std::uint64_t>(); });
        if (!number.ok()) {
            return number.status();
        }
        record.head = (*head)->version;
        record.next_number = *number;
    }
    std::vector<table_row> read;
    while (true) {
        const auto part =
            table_.scan(hosts_prefix, read.empty() ? "" : read.back().key, rows_per_scan);
        if (!part.ok()) {
            return part.status();
        }
        read.insert(read.end(), part->begin(), part->end());
        if (part->size() < rows_per_scan) {
            break;
        }
    }
    absl::StatusOr<std::vector<fleet_row>> rows = decode_rows(read);
    if (!rows.ok()) {
        return rows.status();
    }
    record.rows = *std::move(rows);
    return record;
}

absl::Status fleet_store::decide(const fleet_record& before,
                                 const std::vector<fleet_row>& changed) {
    table_transaction transaction;
    transaction.conditions.push_back({head_key, before.head});
    const std::uint64_t next = before.next_number + changed.size();
    transaction.writes.push_back({head_key, json{{"next", next}}.dump()});
    for (const fleet_row& row : changed) {
        transaction.conditions.push_back({key_of(row), row.version});
        transaction.writes.push_back({key_of(row), encode(row)});
    }
    return table_.commit(transaction).status();
}

absl::Status fleet_store::write(fleet_row& row) {
    const auto version =
        table_.commit({{{key_of(row), row.version}}, {{key_of(row), encode(row)}}});
    if (version.ok()) {
        row.version = *version;
    }
    return version.status();
}

absl::Status fleet_store::remove(const fleet_row& row) {
    return table_.commit({{{key_of(row), row.version}}, {{key_of(row), std::nullopt}}}).status();
}

} // namespace jujubetide
