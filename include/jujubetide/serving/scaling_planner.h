#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/serving_config.h"

#include <compare>
#include <map>

namespace jujubetide {

/// Backend servers of one kind in one failure domain.
struct server_group {
    failure_domain_id failure_domain;
    bool reclaimable = false;

    friend auto operator<=>(const server_group&, const server_group&) = default;
};

using server_numbers = std::map<server_group, unsigned>;

/// Decides how many backend servers of a service to order. The load that it answers: demand that
/// moves in waves, reclaimable servers at a fraction of the price of which a failure domain's worth
/// goes at once, and times in which no new ones are to be had. One object for each service; not
/// thread-safe.
class scaling_planner {
public:
    /// `busy` servers' worth of work arrives; `present` take new work now.
    [[nodiscard]] server_numbers plan(const scaling_limits& limits, double busy,
                                      const server_numbers& present, time_point now);

private:
    [[nodiscard]] double peak(double busy, time_point now);
    /// Reclaimable servers that were ordered and do not come.
    [[nodiscard]] unsigned missing(const scaling_limits& limits, const server_numbers& present,
                                   time_point now) const;

    double peak_ = 0.0;
    time_point peak_at_{};
    bool has_peak_ = false;
    server_numbers ordered_;
    std::map<server_group, time_point> ordered_since_;
};

} // namespace jujubetide
