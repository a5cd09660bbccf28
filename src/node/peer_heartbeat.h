#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/serving/leaving_notices.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/prefix_cache_tracker.h"
#include "jujubetide/serving/prompt_quarantine.h"
#include "jujubetide/serving/server_limits.h"
#include "jujubetide/serving/usage_cap.h"
#include "jujubetide/serving/usage_ledger.h"
#include "jujubetide/serving/version_trials.h"
#include "jujubetide/store/store_era.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujubetide {

/// State that a node sends to every other node several times a second, in one datagram.
struct peer_heartbeat {
    node_id node;
    incarnation start;
    bool is_ready = false;
    bool is_leaving = false;
    /// Capacity of the node's host, in cores.
    double cores = 1.0;
    /// The store answers the calls of the node.
    bool reaches_store = true;
    /// The node follows the store's tables and can pass their changes on.
    bool follows_tables = false;
    /// Version of the newest change that the node has of each shared table, in the tables' order.
    std::vector<row_version> table_versions;
    /// The node has the usage counts from before its start.
    bool has_usage_history = false;
    /// The node holds the duty lease.
    bool holds_duties = false;
    /// The lease's row; set only by the node that holds the lease.
    std::string lease_record;
    row_version lease_version;
    std::vector<customer_usage> spending;
    std::map<usage_window, usage_counts> usage;
    server_loads loads;
    /// Prompt prefixes that servers have read for this node's calls since its last heartbeat.
    std::vector<cached_prefix> readings;
    /// Number of servers that each service needs for its calls at this node.
    std::map<service_id, double> demand;
    /// Prompt parts that crash engines, or may.
    std::vector<prompt_suspicion> suspicions;
    /// Limits that servers named in their last answers to this node.
    std::vector<server_limit_report> server_limits;
    /// The node reaches the backend servers over connections of its own.
    bool reaches_servers = true;
    /// Servers that said in answers to this node that they leave.
    std::vector<leaving_report> leaving_servers;
    /// Answers of versions on trial to this node.
    std::vector<trial_report> trials;
    /// The era of each of `table_versions`; empty from nodes of earlier releases.
    std::vector<store_era> table_eras;
    /// Windows whose counts are stored and may have been reported.
    std::vector<usage_window> settled_windows;
    /// Version of the configuration in force; 0 before the first.
    std::uint64_t config_version = 0;
};

std::string encode(const peer_heartbeat& heartbeat);
/// InvalidArgument if the bytes are not a heartbeat of this format.
absl::StatusOr<peer_heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace jujubetide
