#include "node/peer_heartbeat.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using json = nlohmann::json;

/// First element of each heartbeat; incremented when the format changes.
constexpr int heartbeat_format = 2;

/// In place of the time since an answer, where there was none.
constexpr std::int64_t no_answer = -1;

json to_json(const prompt_suspicion& suspicion) {
    json crashes = json::array();
    for (const prompt_suspicion::crash& crash : suspicion.crashes) {
        crashes.push_back({crash.run.str(), to_millis(crash.age).count()});
    }
    return {suspicion.part.str(),
            suspicion.since_answer ? to_millis(*suspicion.since_answer).count() : no_answer,
            std::move(crashes)};
}

prompt_suspicion to_suspicion(const json& item) {
    prompt_suspicion suspicion;
    suspicion.part = prompt_part_id(item.at(0).get<std::string>());
    if (const auto since = item.at(1).get<std::int64_t>(); since != no_answer) {
        suspicion.since_answer = millis(since);
    }
    for (const json& crash : item.at(2)) {
        suspicion.crashes.push_back({server_run_id(crash.at(0).get<std::string>()),
                                     millis(crash.at(1).get<std::int64_t>())});
    }
    return suspicion;
}

json to_json(const server_limit_report& report) {
    return {report.server.str(),
            report.calls_per_second ? json(*report.calls_per_second) : json(nullptr),
            to_millis(report.age).count()};
}

server_limit_report to_limit_report(const json& item) {
    server_limit_report report;
    report.server = backend_server_id(item.at(0).get<std::string>());
    if (!item.at(1).is_null()) {
        report.calls_per_second = item.at(1).get<double>();
    }
    report.age = millis(item.at(2).get<std::int64_t>());
    return report;
}

json to_json(const leaving_report& report) {
    return {report.server.str(), report.started_at_ms, to_millis(report.age).count()};
}

leaving_report to_leaving_report(const json& item) {
    leaving_report report;
    report.server = backend_server_id(item.at(0).get<std::string>());
    report.started_at_ms = item.at(1).get<std::int64_t>();
    report.age = millis(item.at(2).get<std::int64_t>());
    return report;
}

json to_json(const trial_report& report) {
    return {report.service.str(), report.version.str(), report.bad_answers, report.is_stopped};
}

trial_report to_trial_report(const json& item) {
    return {service_id(item.at(0).get<std::string>()), version_id(item.at(1).get<std::string>()),
            item.at(2).get<std::uint64_t>(), item.at(3).get<bool>()};
}

/// The running calls by level, [level, calls, 0] each; some nodes require a third element.
json levels_of(const server_load& load) {
    json levels = json::array();
    for (std::size_t level = 1; level < urgency_level::count; ++level) {
        if (load.less_urgent[level] > 0) {
            levels.push_back({level, load.less_urgent[level], 0});
        }
    }
    return levels;
}

json to_json(const backend_server_id& server, const server_load& load) {
    json item = {server.str(), load.running, load.prefill_tokens, load.held_tokens};
    if (json levels = levels_of(load); !levels.empty()) {
        item.push_back(std::move(levels));
    }
    return item;
}

server_load to_load(const json& item) {
    constexpr std::size_t levels_index = 4;
    server_load load;
    load.running = item.at(1).get<std::uint32_t>();
    load.prefill_tokens = item.at(2).get<std::uint64_t>();
    load.held_tokens = item.at(3).get<std::uint64_t>();
    if (item.size() <= levels_index) {
        return load; // From a node of an earlier release, or the most urgent calls only.
    }
    for (const json& part : item.at(levels_index)) {
        const auto level = part.at(0).get<std::size_t>();
        if (level > 0 && level < urgency_level::count) {
            load.less_urgent[level] = part.at(1).get<std::uint32_t>();
        }
    }
    return load;
}

template <class Item>
json to_array(const std::vector<Item>& items) {
    json array = json::array();
    for (const Item& item : items) {
        array.push_back(to_json(item));
    }
    return array;
}

/// Reads the fields from `index` on, which nodes of earlier releases do not send.
void read_later_fields(const json& body, std::size_t index, peer_heartbeat& heartbeat) {
    if (index < body.size()) {
        for (const json& item : body.at(index++)) {
            heartbeat.suspicions.push_back(to_suspicion(item));
        }
    }
    if (index < body.size()) {
        for (const json& item : body.at(index++)) {
            heartbeat.server_limits.push_back(to_limit_report(item));
        }
    }
    if (index < body.size()) {
        heartbeat.reaches_servers = body.at(index++).get<bool>();
    }
    if (index < body.size()) {
        for (const json& item : body.at(index++)) {
            heartbeat.leaving_servers.push_back(to_leaving_report(item));
        }
    }
    if (index < body.size()) {
        for (const json& item : body.at(index++)) {
            heartbeat.trials.push_back(to_trial_report(item));
        }
    }
    if (index < body.size()) {
        for (const json& item : body.at(index++)) {
            heartbeat.table_eras.emplace_back(item.get<std::uint64_t>());
        }
    }
    if (index < body.size()) {
        // Unsigned, as any bytes may arrive.
        std::uint64_t last = 0;
        for (const json& item : body.at(index++)) {
            last += static_cast<std::uint64_t>(item.get<std::int64_t>());
            heartbeat.settled_windows.emplace_back(static_cast<std::int64_t>(last));
        }
    }
    if (index < body.size()) {
        heartbeat.config_version = body.at(index++).get<std::uint64_t>();
    }
}

} // namespace

std::string encode(const peer_heartbeat& heartbeat) {
    json versions = json::array();
    for (const row_version version : heartbeat.table_versions) {
        versions.push_back(version.value());
    }
    json eras = json::array();
    for (const store_era era : heartbeat.table_eras) {
        eras.push_back(era.value());
    }
    // The differences are shorter than the numbers.
    json settled = json::array();
    usage_window before;
    for (const usage_window window : heartbeat.settled_windows) {
        settled.push_back(window.value() - before.value());
        before = window;
    }
    json spending = json::array();
    for (const customer_usage& item : heartbeat.spending) {
        spending.push_back({item.customer.str(), item.admitted, item.requested, item.level});
    }
    json usage = json::array();
    for (const auto& [window, counts] : heartbeat.usage) {
        json list = json::array();
        for (const auto& [customer, count] : counts) {
            list.push_back({customer.str(), count});
        }
        usage.push_back({window.value(), std::move(list)});
    }
    json loads = json::array();
    for (const auto& [server, load] : heartbeat.loads) {
        loads.push_back(to_json(server, load));
    }
    json readings = json::array();
    for (const cached_prefix& item : heartbeat.readings) {
        readings.push_back({item.key.value(), item.server.str()});
    }
    json demand = json::array();
    for (const auto& [service, servers] : heartbeat.demand) {
        demand.push_back({service.str(), static_cast<float>(servers)});
    }
    const json body = {heartbeat_format,
                       heartbeat.node.str(),
                       heartbeat.start.value(),
                       heartbeat.is_ready,
                       heartbeat.is_leaving,
                       heartbeat.cores,
                       heartbeat.reaches_store,
                       heartbeat.follows_tables,
                       std::move(versions),
                       heartbeat.has_usage_history,
                       heartbeat.holds_duties,
                       heartbeat.lease_record,
                       heartbeat.lease_version.value(),
                       std::move(spending),
                       std::move(usage),
                       std::move(loads),
                       std::move(demand),
                       std::move(readings),
                       to_array(heartbeat.suspicions),
                       to_array(heartbeat.server_limits),
                       heartbeat.reaches_servers,
                       to_array(heartbeat.leaving_servers),
                       to_array(heartbeat.trials),
                       std::move(eras),
                       std::move(settled),
                       heartbeat.config_version};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<peer_heartbeat> decode_heartbeat(std::string_view bytes) {
    try {
        const json body = json::from_msgpack(bytes.begin(), bytes.end());
        if (body.at(0).get<int>() != heartbeat_format) {
            return absl::InvalidArgumentError("unsupported peer heartbeat format");
        }
        peer_heartbeat heartbeat;
        std::size_t index = 1;
        heartbeat.node = node_id(body.at(index++).get<std::string>());
        heartbeat.start = incarnation(body.at(index++).get<std::uint64_t>());
        heartbeat.is_ready = body.at(index++).get<bool>();
        heartbeat.is_leaving = body.at(index++).get<bool>();
        heartbeat.cores = body.at(index++).get<double>();
        heartbeat.reaches_store = body.at(index++).get<bool>();
        heartbeat.follows_tables = body.at(index++).get<bool>();
        for (const json& item : body.at(index++)) {
            heartbeat.table_versions.emplace_back(item.get<std::uint64_t>());
        }
        heartbeat.has_usage_history = body.at(index++).get<bool>();
        heartbeat.holds_duties = body.at(index++).get<bool>();
        heartbeat.lease_record = body.at(index++).get<std::string>();
        heartbeat.lease_version = row_version(body.at(index++).get<std::uint64_t>());
        for (const json& item : body.at(index++)) {
            heartbeat.spending.push_back({customer_id(item.at(0).get<std::string>()),
                                          item.at(1).get<double>(), item.at(2).get<double>(),
                                          item.at(3).get<double>()});
        }
        for (const json& item : body.at(index++)) {
            usage_counts& counts = heartbeat.usage[usage_window(item.at(0).get<std::int64_t>())];
            for (const json& count : item.at(1)) {
                counts[customer_id(count.at(0).get<std::string>())] =
                    count.at(1).get<std::uint64_t>();
            }
        }
        for (const json& item : body.at(index++)) {
            heartbeat.loads[backend_server_id(item.at(0).get<std::string>())] = to_load(item);
        }
        for (const json& item : body.at(index++)) {
            heartbeat.demand[service_id(item.at(0).get<std::string>())] = item.at(1).get<double>();
        }
        for (const json& item : body.at(index++)) {
            heartbeat.readings.push_back({prefix_key(item.at(0).get<std::uint64_t>()),
                                          backend_server_id(item.at(1).get<std::string>())});
        }
        read_later_fields(body, index, heartbeat);
        return heartbeat;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("cannot decode the peer heartbeat: ", error.what()));
    }
}

} // namespace jujubetide
