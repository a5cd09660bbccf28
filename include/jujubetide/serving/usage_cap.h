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

/// What a node knows of a customer's usage.
struct customer_usage {
    customer_id customer;
    /// Admitted by the node since it started.
    double admitted = 0.0;
    /// Asked of the node since it started, admitted or not.
    double requested = 0.0;
    /// What the node takes the customer's bucket to hold.
    double level = 0.0;
};

/// Holds the customers' usage caps over all nodes without asking anyone for each call: every node
/// keeps the same bucket and takes off it what the others say that they admitted. Nodes that cannot
/// be heard are taken to spend their even share. The load that it answers: a customer that asks
/// many nodes for several times its cap, faster than they tell each other. While the others may ask
/// for more than the bucket holds before they are heard again, each node admits only as large a
/// part of its calls as the bucket holds of that. Not thread-safe.
class usage_cap {
public:
    /// A node that was not heard for this long, where all tell once a period, is taken to spend its
    /// even share: four periods, and the way.
    static constexpr micros peer_silence_timeout(micros period) {
        return 4 * period + micros{100'000};
    }

    static constexpr micros default_period{300'000};

    struct decision {
        bool admitted = true;
        /// When the caller may come back; for refusals.
        micros retry_after{0};
        /// What the bucket held before the call.
        double level = 0.0;
    };

    /// `random` must outlive the caps.
    explicit usage_cap(random_source& random) : random_(random) {}

    /// Charges `usage` unless the customer's bucket has too little.
    decision admit(const serving_customer& customer, double usage, time_point now);
    /// The call was not sent to any server.
    void refund(const serving_customer& customer, double usage, time_point now);

    /// What this node has admitted, for the others.
    [[nodiscard]] std::vector<customer_usage> all_usage(time_point now) const;
    /// As above, for the customers that asked lately only: all that is news to those that hear each
    /// digest, or all but three in a row.
    [[nodiscard]] std::vector<customer_usage> recent_usage(time_point now) const;
    /// Takes what another node has admitted since its start.
    void on_peer_usage(const node_id& node, incarnation start,
                       const std::vector<customer_usage>& reports, time_point now);
    /// `heard` of `all` nodes, this one included, tell their spending at present, once a `period`.
    void set_nodes(std::size_t reachable, std::size_t total, micros period = default_period);

private:
    struct bucket {
        double level = 0.0;
        double rate = 0.0;
        double burst = 0.0;
        time_point updated{};
        bool is_initialized = false;
        /// Usage that the other nodes are asked for in a second, smoothed.
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
        /// Told before a silence of the peer.
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
    /// Whether a call may pass although the others may be asked for more than the bucket holds.
    bool is_admitted_under_contention(const bucket& own, time_point now);
    [[nodiscard]] micros retry_delay(const bucket& own, double needed);
    [[nodiscard]] std::vector<customer_usage> usage_since(time_point since, time_point now) const;
    void apply_peer_usage(bucket& own, const customer_usage& reported, const usage_totals& delta,
                          bool is_charged, time_point now) const;

    random_source& random_;
    absl::flat_hash_map<customer_id, bucket> buckets_;
    std::map<customer_id, local_usage> own_;
    std::map<node_id, peer_record> peers_;
    /// Part of the cap that belongs to the nodes that are heard.
    double reachable_share_ = 1.0;
    std::size_t node_count_ = 1;
    /// Longest time in which a node does not know what another has admitted.
    micros report_period_ = default_period;
};

} // namespace jujubetide
