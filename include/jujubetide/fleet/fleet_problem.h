#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace jujubetide {

/// A kind of host that the cloud sells.
struct host_offer {
    host_class_id host_class;
    failure_domain_id failure_domain;
    bool reclaimable = false;

    friend auto operator<=>(const host_offer&, const host_offer&) = default;
};

using host_counts = std::map<host_offer, std::size_t>;
/// Price of an hour of a host.
using host_prices = std::map<host_offer, micro_price>;
/// Work that a host of each class does in a second when it is fully used, in the unit of the
/// demands.
using host_work_rates = std::map<host_class_id, double>;

struct service_demand {
    service_id service;
    /// Work that arrives in a second.
    double work_rate = 0.0;
    /// The part of its capacity up to which the service keeps its latency target, in (0, 1].
    double max_utilisation = 0.8;

    /// Capacity that the service needs at any time, also after a loss.
    [[nodiscard]] double required_rate() const { return work_rate / max_utilisation; }
};

/// What a plan for the fleet is made from. Each host serves one service.
struct fleet_problem {
    host_work_rates work_rates;
    host_prices prices;
    std::vector<service_demand> demands;
    /// Hosts that serve or start, leaving ones not counted.
    std::map<service_id, host_counts> running;
    /// Offers of which the cloud refused a start lately; no further hosts of them are planned.
    std::set<host_offer> refused;
    /// Hosts that may load weights at the same time; at least 1.
    std::size_t weight_loads_at_once = 4;
    /// From the order to start a host until it serves; paid for without use.
    millis start_time{240'000};
    /// Time within which a change to a cheaper host must pay for its start.
    millis payback{1'800'000};
};

} // namespace jujubetide
