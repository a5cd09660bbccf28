#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/serving_config.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// A customer's usage as reported by one node.
struct customer_usage {
    customer_id customer;
    /// Usage that the node admitted since it started.
    double admitted = 0.0;
    /// Usage requested from the node since it started, admitted or not.
    double requested = 0.0;
    /// Level of the customer's bucket at the node.
    double level = 0.0;
};

/// How much usage beyond the caps the operators accept in any period, over all nodes.
struct usage_cap_tolerance {
    /// Fraction of the usage that a cap allows.
    double factor = 0.0;
    /// Units of usage.
    double usage = 0.0;
};

/// Enforces the customers' usage caps across all nodes without a remote request per call: each node
/// keeps the same token bucket and deducts what its peers report to have admitted. Nodes that do
/// not report are assumed to use their equal share. Designed for a customer that requests several
/// times its cap from many nodes, faster than they exchange reports. While the peers' demand until
/// their next report may exceed the bucket level, a node admits a call with probability level /
/// demand. Not thread-safe.
class usage_cap {
public:
    /// Time without a report, when all nodes report once per `period`, after which a node is
    /// assumed to use its equal share: four periods plus the network delay.
    static constexpr micros peer_silence_timeout(micros period) {
        return 4 * period + micros{100'000};
    }

    static constexpr micros default_period{300'000};

    struct decision {
        bool admitted = true;
        /// Time after which the caller may retry; for refusals.
        micros retry_after{0};
        /// Bucket level before the call.
        double level = 0.0;
    };

    /// `random` must outlive this object. Part of `tolerance` is admitted, the rest covers what
    /// nodes admit before they have heard of each other.
    explicit usage_cap(random_source& random, const usage_cap_tolerance& tolerance = {})
        : random_(random), tolerance_(tolerance) {}

    /// Charges `usage` unless the customer's bucket holds too little. Usage of customers without a
    /// cap is counted for the peers.
    decision admit(const serving_customer& customer, double usage, time_point now);
    /// Returns the usage of a call that was not sent to any server.
    void refund(const serving_customer& customer, double usage, time_point now);

    /// Usage of all customers at this node, for the peers.
    [[nodiscard]] std::vector<customer_usage> all_usage(time_point now) const;
    /// As `all_usage`, but only for customers with recent calls. Complete for peers that miss at
    /// most three consecutive digests.
    [[nodiscard]] std::vector<customer_usage> recent_usage(time_point now) const;
    /// Applies the usage that a peer reported since its start.
    void on_peer_usage(const node_id& node, incarnation start,
                       const std::vector<customer_usage>& reports, time_point now);
    /// `reachable` of `total` nodes, this one included, report their usage, once a `period`.
    void set_nodes(std::size_t reachable, std::size_t total, micros period = default_period);

private:
    struct bucket {
        double level = 0.0;
        double rate = 0.0;
        double burst = 0.0;
        time_point updated{};
        bool is_initialized = false;
        /// Usage requested from the other nodes per second, smoothed.
        double peer_demand = 0.0;
        time_point peer_demand_updated{};
    };
    struct usage_totals {
        double admitted = 0.0;
        double requested = 0.0;
    };
    struct local_usage {
        usage_totals totals;
        time_point changed{};
    };
    struct reported_usage {
        usage_totals totals;
        /// Reported before the peer stopped reporting for a while.
        bool is_stale = false;
    };
    struct peer_record {
        incarnation start;
        time_point reported_at{};
        std::map<customer_id, reported_usage> customers;
    };

    static double level_at(const bucket& state, time_point now);
    static double peer_demand_at(const bucket& state, time_point now);
    bucket& refill(const serving_customer& customer, time_point now);
    /// Whether a call is admitted although the peers may admit more than the bucket holds.
    bool is_admitted_under_contention(const bucket& own, time_point now);
    [[nodiscard]] micros retry_delay(const bucket& own, double needed);
    [[nodiscard]] std::vector<customer_usage> usage_since(time_point since, time_point now) const;
    void apply_peer_usage(bucket& own, const customer_usage& reported, const usage_totals& delta,
                          bool is_charged, time_point now) const;

    random_source& random_;
    usage_cap_tolerance tolerance_;
    absl::flat_hash_map<customer_id, bucket> buckets_;
    std::map<customer_id, local_usage> own_;
    std::map<node_id, peer_record> peers_;
    /// Share of the cap that belongs to the reachable nodes.
    double reachable_share_ = 1.0;
    std::size_t node_count_ = 1;
    /// Maximum time until a node learns what another has admitted.
    micros report_period_ = default_period;
};

} // namespace jujubetide
