#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <map>

namespace jujubetide {

/// Measures how much of the backend servers' time the calls of each service need: the seconds of
/// work of one server that arrive in a second, smoothed. Not thread-safe.
class demand_meter {
public:
    void add(const service_id& service, double server_seconds, time_point now);
    /// Mean number of servers that each service's calls keep busy.
    [[nodiscard]] std::map<service_id, double> busy_servers(time_point now) const;

private:
    struct moving_average {
        double rate = 0.0;
        time_point updated{};
    };
    std::map<service_id, moving_average> services_;
};

} // namespace jujubetide
