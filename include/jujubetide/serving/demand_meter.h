#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <map>

namespace jujubetide {

/// Measures the demand of each service: the seconds of work for one backend server that arrive per
/// second, smoothed. Not thread-safe.
class demand_meter {
public:
    void add(const service_id& service, double server_seconds, time_point now);
    /// Mean number of servers that the calls of each service keep busy.
    [[nodiscard]] std::map<service_id, double> busy_servers(time_point now) const;
    /// The server seconds that arrived at a node between two of its reports of busy servers.
    [[nodiscard]] static double work_between(double earlier, double later, micros elapsed);

private:
    struct moving_average {
        double rate = 0.0;
        time_point updated{};
    };
    std::map<service_id, moving_average> services_;
};

} // namespace jujubetide
