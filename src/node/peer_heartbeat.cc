#include "node/peer_heartbeat.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using json = nlohmann::json;

/// First element of each digest; changes with the format.
constexpr int digest_format = 2;

} // namespace

std::string encode(const peer_heartbeat& digest) {
    json versions = json::array();
    for (const row_version version : digest.table_versions) {
        versions.push_back(version.value());
    }
    json spending = json::array();
    for (const customer_spending& one : digest.spending) {
        spending.push_back({one.customer.str(), one.total, one.asked, one.level});
    }
    json usage = json::array();
    for (const auto& [window, counts] : digest.usage) {
        json list = json::array();
        for (const auto& [customer, count] : counts) {
            list.push_back({customer.str(), count});
        }
        usage.push_back({window.value(), std::move(list)});
    }
    json loads = json::array();
    for (const auto& [server, load] : digest.loads) {
        loads.push_back({server.str(), load.running, load.unread_tokens, load.held_tokens});
    }
    json readings = json::array();
    for (const prefix_reading& one : digest.readings) {
        readings.push_back({one.key.value(), one.server.str()});
    }
    json demand = json::array();
    for (const auto& [service, servers] : digest.demand) {
        demand.push_back({service.str(), static_cast<float>(servers)});
    }
    const json body = {digest_format,
                       digest.node.str(),
                       digest.start.value(),
                       digest.is_ready,
                       digest.is_leaving,
                       digest.cores,
                       digest.reaches_store,
                       digest.follows_tables,
                       std::move(versions),
                       digest.has_usage_history,
                       digest.holds_duties,
                       digest.lease_record,
                       digest.lease_version.value(),
                       std::move(spending),
                       std::move(usage),
                       std::move(loads),
                       std::move(demand),
                       std::move(readings)};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<peer_heartbeat> decode_heartbeat(std::string_view bytes) {
    try {
        const json body = json::from_msgpack(bytes.begin(), bytes.end());
        if (body.at(0).get<int>() != digest_format) {
            return absl::InvalidArgumentError("a digest of another format");
        }
        peer_heartbeat digest;
        std::size_t at = 1;
        digest.node = node_id(body.at(at++).get<std::string>());
        digest.start = incarnation(body.at(at++).get<std::uint64_t>());
        digest.is_ready = body.at(at++).get<bool>();
        digest.is_leaving = body.at(at++).get<bool>();
        digest.cores = body.at(at++).get<double>();
        digest.reaches_store = body.at(at++).get<bool>();
        digest.follows_tables = body.at(at++).get<bool>();
        for (const json& one : body.at(at++)) {
            digest.table_versions.emplace_back(one.get<std::uint64_t>());
        }
        digest.has_usage_history = body.at(at++).get<bool>();
        digest.holds_duties = body.at(at++).get<bool>();
        digest.lease_record = body.at(at++).get<std::string>();
        digest.lease_version = row_version(body.at(at++).get<std::uint64_t>());
        for (const json& one : body.at(at++)) {
            digest.spending.push_back({customer_id(one.at(0).get<std::string>()),
                                       one.at(1).get<double>(), one.at(2).get<double>(),
                                       one.at(3).get<double>()});
        }
        for (const json& one : body.at(at++)) {
            usage_counts& counts = digest.usage[usage_window(one.at(0).get<std::int64_t>())];
            for (const json& count : one.at(1)) {
                counts[customer_id(count.at(0).get<std::string>())] =
                    count.at(1).get<std::uint64_t>();
            }
        }
        for (const json& one : body.at(at++)) {
            digest.loads[backend_server_id(one.at(0).get<std::string>())] = {
                one.at(1).get<std::uint32_t>(), one.at(2).get<std::uint64_t>(),
                one.at(3).get<std::uint64_t>()};
        }
        for (const json& one : body.at(at++)) {
            digest.demand[service_id(one.at(0).get<std::string>())] = one.at(1).get<double>();
        }
        for (const json& one : body.at(at++)) {
            digest.readings.push_back({prefix_key(one.at(0).get<std::uint64_t>()),
                                       backend_server_id(one.at(1).get<std::string>())});
        }
        return digest;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(absl::StrCat("not a digest: ", error.what()));
    }
}

} // namespace jujubetide
