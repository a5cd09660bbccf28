#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
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

/// Decides how many backend servers of a service to order. Designed for demand that comes in waves,
/// reclaimable servers at a fraction of the price that are lost a whole failure domain at a time,
/// and periods in which no new ones are available. One object for each service; not
/// thread-safe.
class scaling_planner {
public:
    /// `busy` is the demand in servers; `present` counts the servers that accept new calls now.
    [[nodiscard]] server_counts plan(const scaling_limits& limits, double busy,
                                     const server_counts& present, time_point now);

private:
    struct group_state {
        unsigned ordered = 0;
        unsigned present = 0;
        time_point increased{};
        /// When servers of the group were last lost.
        std::optional<time_point> failed;
    };

    [[nodiscard]] double peak(double busy, time_point now);
    void observe(const server_counts& present, time_point now);
    /// Reclaimable servers that can be relied on: those present and those still booting.
    [[nodiscard]] unsigned available(const scaling_limits& limits, time_point now) const;
    /// Applies a rise of the wanted reliable servers at once, and a fall after a delay.
    [[nodiscard]] unsigned hold(unsigned wanted, time_point now);
    void note_orders(const server_counts& numbers, const server_counts& present, time_point now);

    double peak_ = 0.0;
    time_point peak_at_{};
    bool has_peak_ = false;
    std::optional<time_point> demand_since_;
    std::map<server_group, group_state> groups_;
    unsigned held_ = 0;
    time_point held_at_{};
};

} // namespace jujubetide
