#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/peer/peer_link.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace jujubetide {

/// The metrics that every node has: settings, members, shares of versions and traffic between the
/// system's processes. Thread-safe.
class node_metrics {
public:
    /// The registry must outlive the metrics.
    explicit node_metrics(prometheus::Registry& registry);

    /// Reads the boards and the counts of a link; to be called before the metrics are collected.
    void update(const blackboard& boards, const std::vector<peer_traffic>& traffic);

private:
    void update_shares(const blackboard& boards);
    void set_share(const service_id& service, const version_id& version, double share);
    void update_traffic(const std::vector<peer_traffic>& traffic);

    std::mutex mutex_;
    prometheus::Family<prometheus::Counter>& bytes_;
    prometheus::Family<prometheus::Counter>& messages_;
    prometheus::Family<prometheus::Gauge>& shares_;
    prometheus::Gauge& revision_;
    prometheus::Gauge& members_;
    prometheus::Gauge& buffered_bytes_;
    prometheus::Gauge& buffer_limit_;
    prometheus::Gauge& buffer_refusals_;
    /// What `shares_` shows.
    std::map<std::pair<service_id, version_id>, prometheus::Gauge*> shown_shares_;
};

} // namespace jujubetide
