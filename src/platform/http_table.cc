// Values travel as Base64, since rows hold bytes and JSON only holds UTF-8. Each call opens its own
// connection: a kept connection may be closed by the platform at the moment of a commit, which
// would leave its outcome open without need.
#include "jujubetide/platform/http_table.h"

#include "platform/platform_call.h"

#include <absl/strings/escaping.h>

namespace jujubetide {
namespace {

table_row read_row(const nlohmann::json& row) {
    table_row read{row.at("key"), {}, row_version(row.at("version").get<std::uint64_t>())};
    absl::Base64Unescape(row.at("value_base64").get<std::string>(), &read.value);
    return read;
}

nlohmann::json write_transaction(const table_transaction& transaction) {
    nlohmann::json conditions = nlohmann::json::array();
    for (const row_condition& condition : transaction.conditions) {
        conditions.push_back({{"key", condition.key}, {"version", condition.version.value()}});
    }
    nlohmann::json writes = nlohmann::json::array();
    for (const row_write& write : transaction.writes) {
        nlohmann::json row{{"key", write.key}};
        if (write.value) {
            row["value_base64"] = absl::Base64Escape(*write.value);
        }
        writes.push_back(std::move(row));
    }
    return {{"conditions", std::move(conditions)}, {"writes", std::move(writes)}};
}

} // namespace

absl::StatusOr<std::optional<table_row>> http_table::do_get(const std::string& key) {
    const auto reply =
        platform_json_call(platform_, "POST", "/v1/table/get", {{"key", key}}, timeouts_);
    if (!reply.ok()) {
        return reply.status();
    }
    return read_reply(*reply, [](const nlohmann::json& body) {
        return body.contains("row") ? std::make_optional(read_row(body["row"])) : std::nullopt;
    });
}

absl::StatusOr<std::vector<table_row>>
http_table::do_scan(const std::string& prefix, const std::string& after, std::size_t limit) {
    const auto reply =
        platform_json_call(platform_, "POST", "/v1/table/scan",
                           {{"prefix", prefix}, {"after", after}, {"limit", limit}}, timeouts_);
    if (!reply.ok()) {
        return reply.status();
    }
    return read_reply(*reply, [](const nlohmann::json& body) {
        std::vector<table_row> rows;
        for (const nlohmann::json& row : body) {
            rows.push_back(read_row(row));
        }
        return rows;
    });
}

absl::StatusOr<row_version> http_table::do_commit(const table_transaction& transaction) {
    const auto reply = platform_json_call(platform_, "POST", "/v1/table/commit",
                                          write_transaction(transaction), timeouts_);
    if (!reply.ok()) {
        return reply.status();
    }
    return read_reply(*reply, [](const nlohmann::json& body) {
        return row_version(body.at("version").get<std::uint64_t>());
    });
}

} // namespace jujubetide
