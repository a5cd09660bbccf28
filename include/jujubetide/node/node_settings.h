#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/cold_servers.h"
#include "jujubetide/serving/usage_cap.h"

#include <cstddef>
#include <optional>
#include <string>

namespace jujubetide {

/// Settings that a node reads at its start.
struct node_settings {
    node_id node;
    failure_domain_id failure_domain;
    region_id region;
    /// Listens for callers' requests.
    endpoint caller_endpoint;
    /// Listens for the platform's readiness checks.
    endpoint readiness_endpoint;
    /// Listens for callers' queries of the node directory.
    endpoint directory_endpoint;
    /// Listens for peers.
    endpoint peer_endpoint;
    endpoint store_endpoint;
    /// The platform API for usage reports and server orders; port 0 if there is none.
    endpoint cloud_endpoint;
    std::size_t max_descriptors = 4'096;
    /// Memory of the process, in bytes.
    std::size_t memory = std::size_t{256} << 20U;
    /// Capacity relative to other hosts, in cores.
    double cores = 1.0;

    /// Maximum time from the acceptance of a configuration until all nodes apply it.
    millis config_apply_limit{2'000};
    /// From the stop signal to the kill.
    millis stop_grace_period{8'000};
    /// How long a draining backend server still serves.
    millis server_drain_timeout{2'000};
    /// Maximum time for which callers may cache a directory response.
    millis directory_lifetime{5'000};
    millis lease_duration{3'000};
    millis usage_window{5'000};
    /// Maximum time from the end of a window to its usage report.
    millis usage_report_timeout{10'000};
    /// Retry budget per request of a service.
    double retry_ratio = 0.2;
    /// Additional retries of a service per `retry_window`, over all nodes.
    double retry_allowance = 50.0;
    millis retry_window{10'000};
    /// Second attempts of slow calls per call of a service, from 0 (none) to 1.
    double hedge_share = 0.0;
    /// Maximum share of a service's requests for a canary version, and additional requests.
    double canary_share = 0.1;
    double canary_allowance = 50.0;
    /// Absent if calls to cold servers are not bounded.
    std::optional<cold_call_tolerance> cold_tolerance;
    /// Nothing beyond the caps is accepted by default.
    usage_cap_tolerance cap_tolerance;
    /// Time after a node's last contact at which it counts as unreachable.
    millis contact_timeout{3'000};
    bool reports_usage = false;
    bool orders_servers = false;
};

} // namespace jujubetide
