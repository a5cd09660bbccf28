#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <cstddef>
#include <string>

namespace jujubetide {

/// What a node learns of itself and of its surroundings when it starts.
struct node_settings {
    node_id node;
    failure_domain_id failure_domain;
    region_id region;
    /// Where callers send requests.
    endpoint caller_endpoint;
    /// Where the platform asks whether the node is ready.
    endpoint readiness_endpoint;
    /// Where callers ask which nodes to use.
    endpoint directory_endpoint;
    /// Where peers are received.
    endpoint peer_endpoint;
    endpoint store_endpoint;
    /// Where usage is reported and backend servers are ordered; port 0 where there is none.
    endpoint cloud_endpoint;
    std::size_t max_descriptors = 4'096;
    /// Capacity relative to other hosts, in cores.
    double cores = 1.0;

    /// Within this time of its acceptance a configuration is in force everywhere.
    millis config_apply_limit{2'000};
    /// From the order to stop to the kill.
    millis stop_grace_period{8'000};
    /// How long a leaving backend server still serves.
    millis server_drain_timeout{2'000};
    /// Longest time for which callers may keep an answer of the directory.
    millis directory_lifetime{5'000};
    millis lease_duration{3'000};
    millis usage_window{5'000};
    /// Within this time of its end, a window's usage is to be reported.
    millis usage_report_timeout{10'000};
    /// Retries that a service may get for each of its requests.
    double retry_ratio = 0.2;
    /// Further retries of a service in a budget window, over all nodes.
    double retry_allowance = 50.0;
    millis retry_window{10'000};
    /// Part of a service's requests that a version under trial may get, and further requests.
    double canary_share = 0.1;
    double canary_allowance = 50.0;
    /// Longest time from a node's last contact to its being out of touch.
    millis contact_timeout{3'000};
    bool reports_usage = false;
    bool orders_servers = false;
};

} // namespace jujubetide
