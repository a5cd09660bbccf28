#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/serving_config.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// What a node has admitted of a customer's usage since it started.
struct customer_spending {
    customer_id customer;
    double total = 0.0;
};

/// Holds the customers' usage caps over all nodes without asking anyone for each call: every node
/// keeps the same bucket and takes off it what the others say that they admitted. Nodes that cannot
/// be heard are taken to spend their even share. Not thread-safe.
class usage_cap {
public:
    struct decision {
        bool admitted = true;
        /// Until the bucket holds enough; for refusals.
        micros retry_after{0};
    };

    /// Charges `usage` unless the customer's bucket has too little.
    decision admit(const serving_customer& customer, double usage, time_point now);
    /// The call was not sent to any server.
    void refund(const serving_customer& customer, double usage, time_point now);

    /// What this node has admitted, for the others.
    [[nodiscard]] std::vector<customer_spending> spending() const;
    /// Takes what another node has admitted since its start.
    void on_peer_spending(const node_id& node, incarnation start,
                          const std::vector<customer_spending>& spending, time_point now);
    /// `heard` of `all` nodes, this one included, tell their spending at present.
    void set_nodes(std::size_t heard, std::size_t all);

private:
    struct bucket {
        double level = 0.0;
        double rate = 0.0;
        double burst = 0.0;
        time_point updated{};
        bool known = false;
    };
    struct peer_total {
        incarnation start;
        std::map<customer_id, double> totals;
    };

    bucket& refill(const serving_customer& customer, time_point now);

    absl::flat_hash_map<customer_id, bucket> buckets_;
    std::map<customer_id, double> own_;
    std::map<node_id, peer_total> peers_;
    /// Part of the cap that belongs to the nodes that are heard.
    double part_ = 1.0;
};

} // namespace jujubetide
