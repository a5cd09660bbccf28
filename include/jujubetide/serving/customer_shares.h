#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/decaying_sum.h"
#include "jujubetide/serving/urgency_level.h"
#include "jujubetide/serving/usage_cap.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <limits>
#include <map>
#include <utility>
#include <vector>

namespace jujubetide {

/// Shares the room of services among their customers while calls have to wait, by weighted max-min
/// fairness over all nodes: those that ask for more than their share are refused the excess, and
/// room that others leave is free to take. Designed for one customer that sends several times its
/// usual from many nodes while the others send theirs. Not thread-safe.
class customer_shares final {
public:
    /// `random` must outlive this object.
    explicit customer_shares(random_source& random) : random_(random) {}

    struct call {
        service_id service;
        /// Empty for callers without a key, who count as one customer.
        customer_id customer;
        /// The customer's cap per second; 0 if it has none.
        double cap_per_second = 0.0;
        /// Usage that the caps count, in their unit.
        double usage = 0.0;
        urgency_level urgency;
        time_point now{};
    };

    /// Counts a call that the caps admitted.
    void on_call(const call& received);
    /// Calls of this urgency wait for `ratio` of their target; 1 or more if they are refused.
    void on_wait(const service_id& service, urgency_level urgency, double ratio, time_point now);
    /// Applies the usage that a peer reported since its start.
    void on_peer_usage(const node_id& node, incarnation start,
                       const std::vector<customer_usage>& reports, time_point now);
    void forget_peer(const node_id& node) { peers_.erase(node); }
    /// Number of nodes that take calls, this one included.
    void set_nodes(std::size_t count) { node_count_ = count; }

    /// Whether the call is part of what its customer asks for beyond its share. Such calls are
    /// chosen at random.
    [[nodiscard]] bool is_excess(const call& received);
    /// The part of all usage that is beyond the customers' shares; 0 without pressure.
    [[nodiscard]] double excess_part(const service_id& service, time_point now);
    /// Smoothed wait of the calls that wait longest, as a part of their target.
    [[nodiscard]] double pressure(const service_id& service, time_point now) const;
    /// Number of customers that ask for more than their share of the services under pressure.
    [[nodiscard]] std::size_t customers_beyond_share(time_point now);

private:
    /// Time constants of the usage, and of what this node sees itself.
    static constexpr micros usage_memory{600'000};
    static constexpr micros own_memory{300'000};

    struct customer_state {
        double cap_per_second = 0.0;
        decaying_sum own{usage_memory};
        decaying_sum peers_requested{usage_memory};
        decaying_sum peers_admitted{usage_memory};
        decaying_sum own_latest{own_memory};
        decaying_sum own_calls{own_memory};
        /// Whether peers report the customer's usage.
        bool is_reported = false;
        time_point changed{};
    };
    struct reported_totals {
        double admitted = 0.0;
        double requested = 0.0;
    };
    struct peer_record {
        incarnation start;
        absl::flat_hash_map<customer_id, reported_totals> customers;
    };
    struct smoothed_wait {
        double ratio = 0.0;
        time_point updated{};
    };
    using service_levels = std::array<smoothed_wait, urgency_level::count>;
    struct claim {
        customer_id customer;
        double demand = 0.0;
        double weight = 1.0;

        [[nodiscard]] double per_weight() const { return demand / weight; }
    };

    [[nodiscard]] double demand_of(const customer_state& state, time_point now) const;
    /// Demand of all customers, in the order of their demand for their weight.
    [[nodiscard]] const std::vector<claim>& claims(time_point now);
    [[nodiscard]] static double wait_at(const smoothed_wait& wait, time_point now);
    /// Usage for each unit of weight beyond which customers exceed their share of a service.
    [[nodiscard]] double limit_per_weight(const service_id& service, time_point now);

    random_source& random_;
    std::size_t node_count_ = 1;
    absl::flat_hash_map<customer_id, customer_state> customers_;
    absl::flat_hash_map<service_id, service_levels> services_;
    std::map<node_id, peer_record> peers_;
    std::vector<claim> claims_;
    /// Index into `claims_`.
    absl::flat_hash_map<customer_id, std::size_t> claim_indices_;
    time_point claims_updated_{};
};

} // namespace jujubetide
