#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

enum class service_kind { model, plain };

/// A class of calls of a service. A plain service's route is chosen by method and path prefix, the
/// longest first; a model service's by the `model` that callers send, `[TEAM/]SERVICE[/ROUTE]`.
struct route_settings {
    route_id id;
    /// For plain services: "" stands for every method.
    std::string method;
    std::string path_prefix = "/";
    /// Whether a call that may have run can be sent again.
    bool idempotent = true;
    /// Priority handed to the engine; larger is more urgent.
    int priority = 0;
};

struct service_settings {
    team_id team;
    service_id id;
    service_kind kind = service_kind::model;
    /// The version that gets traffic while no move is on.
    version_id version;
    std::vector<route_settings> routes;
    /// Target for the first piece of an answer.
    millis first_piece_target{350};
    /// Deadline of a request that names none.
    millis default_deadline{30'000};
    std::size_t max_body_bytes = 1U << 20U;
    /// Longest body of a plain service's answer.
    std::size_t max_answer_bytes = 16U << 20U;
    /// Longest time for one call to a plain service, also where the caller's deadline is later.
    millis answer_timeout{60'000};
    /// Retries allowed for each 100 requests.
    double retry_percent = 10.0;
};

struct backend_server_settings {
    team_id team;
    backend_server_id id;
    service_id service;
    version_id version;
    endpoint address;
    host_id host;
    failure_domain_id failure_domain;
    /// Whether the server refuses orders with an old fencing number.
    bool checks_fencing = false;
    bool reclaimable = true;
    micro_price price;
    /// Requests that it runs at once.
    std::size_t max_running = 32;
    /// Prompt tokens that it processes in a second.
    double prefill_tokens_per_second = 8'000.0;
    /// `stable_hash` of the id; set when the snapshot is made.
    std::uint64_t id_hash = 0;
};

struct customer_settings {
    team_id team;
    customer_id id;
    /// SHA-256 of the customer's bearer key, in lower-case hex.
    std::string key_sha256;
    /// Weight of the customer's share under load.
    double share = 1.0;
    /// Services that the customer may call.
    std::vector<service_id> services;
};

struct operator_settings {
    operator_id id;
    std::string key_sha256;
    /// Path prefixes that the operator may write, such as `/teams/frio/`.
    std::vector<std::string> subtrees;
};

/// A machine class that the fleet may have.
struct fleet_class_settings {
    host_class_id id;
    /// Work that a fully used host does in a second, in the unit of the demands.
    double work_rate = 0.0;
};

/// Work that the fleet must carry for a service.
struct fleet_demand_settings {
    service_id service;
    /// Work that arrives in a second.
    double work_rate = 0.0;
    /// The part of its capacity up to which the service keeps its latency target.
    double max_utilisation = 0.8;
};

/// How the cloud's hosts are planned.
struct fleet_settings {
    std::vector<fleet_class_settings> classes;
    std::vector<fleet_demand_settings> demands;
    /// Hosts that may load weights at the same time.
    std::size_t weight_loads_at_once = 4;
    /// From the order to start a host until it serves.
    millis start_time{240'000};
    /// Time within which a change to a cheaper host must pay for its start.
    millis payback{1'800'000};
    /// How long a draining host is waited for before it is stopped.
    millis drain_timeout{600'000};
};

/// Whether the path lies under one of the operator's subtrees.
bool covers(const operator_settings& person, const std::string& path);

/// Everything that operators have declared, at one revision. Immutable; a request keeps the
/// snapshot that it began with.
class settings_snapshot {
public:
    /// The parts of a snapshot. `documents` maps each settings path to its YAML text.
    struct parts {
        revision at;
        std::vector<service_settings> services;
        std::vector<backend_server_settings> backend_servers;
        std::vector<customer_settings> customers;
        std::vector<operator_settings> operators;
        /// Absent: the fleet is not planned.
        std::optional<fleet_settings> fleet;
        absl::flat_hash_map<std::string, std::string> documents;
    };

    /// Builds a snapshot from parts that the settings parser has checked.
    static std::shared_ptr<const settings_snapshot> make(parts checked_parts);

    [[nodiscard]] revision at() const { return parts_.at; }
    [[nodiscard]] const std::vector<service_settings>& services() const { return parts_.services; }
    [[nodiscard]] const std::vector<backend_server_settings>& backend_servers() const {
        return parts_.backend_servers;
    }
    [[nodiscard]] const std::vector<customer_settings>& customers() const {
        return parts_.customers;
    }
    [[nodiscard]] const std::vector<operator_settings>& operators() const {
        return parts_.operators;
    }
    [[nodiscard]] const std::optional<fleet_settings>& fleet() const { return parts_.fleet; }
    [[nodiscard]] const absl::flat_hash_map<std::string, std::string>& documents() const {
        return parts_.documents;
    }

    /// Null where there is none.
    [[nodiscard]] const service_settings* find_service(const service_id& id) const;
    /// The customer whose key has this hash, or null.
    [[nodiscard]] const customer_settings* find_customer(const std::string& key_sha256) const;
    [[nodiscard]] const backend_server_settings*
    find_backend_server(const backend_server_id& id) const;
    /// The backend servers of a service, in the order of their ids.
    [[nodiscard]] const std::vector<const backend_server_settings*>&
    servers_of(const service_id& id) const;

private:
    explicit settings_snapshot(parts checked_parts);

    parts parts_;
    absl::flat_hash_map<std::string, std::size_t> service_index_;
    absl::flat_hash_map<std::string, std::size_t> customer_index_;
    absl::flat_hash_map<std::string, std::size_t> backend_index_;
    absl::flat_hash_map<std::string, std::vector<const backend_server_settings*>> servers_of_;
    std::vector<const backend_server_settings*> no_servers_;
};

using snapshot_ptr = std::shared_ptr<const settings_snapshot>;

} // namespace jujubetide
