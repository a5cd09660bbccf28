#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/fleet/fleet_plan.h"
#include "jujubetide/fleet/fleet_problem.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubetide {

enum class fleet_host_state : std::uint8_t {
    /// Ordered from the cloud; it loads its weights and does not serve yet.
    starting,
    serving,
    /// Gets no new work; also a host that the cloud reclaims.
    draining,
    /// Nothing runs on it any more.
    drained,
};

/// A host of the fleet.
struct fleet_host {
    /// Names the host from before its start; unique over the fleet's life.
    std::string start_id;
    service_id service;
    host_offer offer;
    fleet_host_state state = fleet_host_state::starting;
};

/// A host to be started.
struct fleet_start {
    service_id service;
    host_offer offer;

    friend auto operator<=>(const fleet_start&, const fleet_start&) = default;
};

/// What is to be done now. Hosts are named by their start ids.
struct fleet_steps {
    std::vector<fleet_start> starts;
    std::vector<std::string> drains;
    std::vector<std::string> stops;
};

/// Hosts that serve or start, by service.
std::map<service_id, host_counts> running_hosts(const std::vector<fleet_host>& hosts);
/// Hosts of the service in one state.
host_counts hosts_in_state(const std::vector<fleet_host>& hosts, const service_id& service,
                           fleet_host_state state);

/// The next steps from the hosts towards the plan. Starts stay within the weight loads at once, and
/// go first to the service that lacks most. A serving host is drained only while the other serving
/// hosts of its service keep the required capacity after the loss of any failure domain; so its
/// replacement serves before. Only drained hosts are stopped.
fleet_steps next_fleet_steps(const fleet_problem& problem, const fleet_plan& plan,
                             const std::vector<fleet_host>& hosts);

} // namespace jujubetide
