#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/demand_forecast.h"
#include "jujubetide/serving/serving_config.h"

#include <compare>
#include <map>
#include <optional>

namespace jujubetide {

/// Backend servers of one kind in one failure domain.
struct server_group {
    failure_domain_id failure_domain;
    bool reclaimable = false;

    friend auto operator<=>(const server_group&, const server_group&) = default;
};

using server_counts = std::map<server_group, unsigned>;

/// Decides how many backend servers of a service to order: the cheapest ones with which calls meet
/// their latency targets, and with which a service keeps up with its calls while the reclaimable
/// servers of one failure domain, or of two, are lost. Designed for demand that comes in waves,
/// reclaimable servers at a fraction of the price that are lost a whole failure domain at a time,
/// and periods in which no new ones are available. One object for each service; not thread-safe.
class scaling_planner {
public:
    /// `present` counts the servers that accept new calls now.
    [[nodiscard]] server_counts plan(const scaling_limits& limits, const service_load& load,
                                     const server_counts& present, time_point now);
    /// Whether the group lacks servers that its last accepted order promised, so that the order has
    /// to be repeated.
    [[nodiscard]] bool is_short(const server_group& group) const;
    void on_order_accepted(const server_group& group, time_point now);
    /// Reports that the group cannot have as many servers as were ordered.
    void on_order_refused(const server_group& group);

private:
    struct group_state {
        unsigned ordered = 0;
        unsigned present = 0;
        /// When the last order was accepted or raised.
        time_point ordered_at{};
        bool is_short = false;
    };
    /// Follows a rise at once, and a fall after a delay.
    struct delayed_fall {
        unsigned value = 0;
        time_point confirmed{};

        unsigned update(unsigned wanted, time_point now);
    };

    void observe(const scaling_limits& limits, const server_counts& present, time_point now);
    void note_orders(const server_counts& numbers, const server_counts& present, time_point now);
    /// Applies the delays to what is wanted.
    [[nodiscard]] server_counts delay_falls(const server_counts& wanted,
                                            const server_counts& present, time_point now);

    demand_forecast forecast_;
    std::optional<time_point> demand_since_;
    bool has_planned_ = false;
    std::map<server_group, group_state> groups_;
    std::map<server_group, delayed_fall> delayed_;
};

} // namespace jujubetide
