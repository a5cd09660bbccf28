#include "node/peer_messages.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using json = nlohmann::json;

std::string to_bytes(const json& body) {
    const std::vector<std::uint8_t> bytes = json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

json::binary_t to_binary(const std::string& text) {
    return json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string to_string(const json& binary) {
    const json::binary_t& bytes = binary.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode(const std::vector<usage_record>& records) {
    json body = json::array();
    for (const usage_record& record : records) {
        json counts = json::array();
        for (const auto& [customer, count] : record.counts) {
            counts.push_back({customer.str(), count});
        }
        body.push_back(
            {record.node.str(), record.start.value(), record.window.value(), std::move(counts)});
    }
    return to_bytes(body);
}

absl::StatusOr<std::vector<usage_record>> decode_usage(const std::string& bytes) {
    try {
        const json body = json::from_msgpack(bytes);
        std::vector<usage_record> records;
        for (const json& item : body) {
            usage_record record{node_id(item.at(0).get<std::string>()),
                                incarnation(item.at(1).get<std::uint64_t>()),
                                usage_window(item.at(2).get<std::int64_t>()),
                                {}};
            for (const json& count : item.at(3)) {
                record.counts[customer_id(count.at(0).get<std::string>())] =
                    count.at(1).get<std::uint64_t>();
            }
            records.push_back(std::move(record));
        }
        return records;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("cannot decode the usage records: ", error.what()));
    }
}

std::string encode(const table_rows& rows) {
    json list = json::array();
    for (const stored_row& row : rows.batch.rows) {
        list.push_back({row.key, to_binary(row.value), row.version.value(), row.removed});
    }
    const json after = rows.changed_after ? json(rows.changed_after->value()) : json();
    return to_bytes({rows.batch.version.value(), after, std::move(list), rows.batch.era.value()});
}

absl::StatusOr<table_rows> decode_rows(const std::string& bytes) {
    try {
        const json body = json::from_msgpack(bytes);
        table_rows rows;
        rows.batch.version = row_version(body.at(0).get<std::uint64_t>());
        if (!body.at(1).is_null()) {
            rows.changed_after = row_version(body.at(1).get<std::uint64_t>());
        }
        for (const json& item : body.at(2)) {
            rows.batch.rows.push_back({item.at(0).get<std::string>(), to_string(item.at(1)),
                                       row_version(item.at(2).get<std::uint64_t>()),
                                       item.at(3).get<bool>()});
        }
        // Nodes of earlier releases send no era.
        if (constexpr std::size_t era_index = 3; body.size() > era_index) {
            rows.batch.era = store_era(body.at(era_index).get<std::uint64_t>());
        }
        return rows;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("cannot decode the table rows: ", error.what()));
    }
}

} // namespace jujubetide
