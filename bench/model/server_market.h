#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/serving/scaling_planner.h"
#include "jujubetide/serving/serving_config.h"

#include <map>
#include <utility>
#include <vector>

namespace jujubetide::model {

/// Servers to be had in a run: they boot for a while, and reclaimable ones are taken away a failure
/// domain at a time, after which none can be had for a while.
class server_market {
public:
    explicit server_market(scaling_limits limits) : limits_(std::move(limits)) {}

    /// Sets the number of servers of a group; returns false if it gets fewer.
    bool order(const server_group& group, unsigned count, time_point now);
    /// Takes the reclaimable servers of a domain away; until `dry_until` none can be had anywhere.
    void reclaim(const failure_domain_id& domain, time_point dry_until);
    /// Servers that have booted.
    [[nodiscard]] server_counts present(time_point now) const;
    /// Price of all servers for a second, booting ones included.
    [[nodiscard]] double price_per_second() const;
    [[nodiscard]] const scaling_limits& limits() const { return limits_; }

private:
    scaling_limits limits_;
    std::map<server_group, std::vector<time_point>> booted_at_;
    time_point dry_until_{};
};

} // namespace jujubetide::model
