#pragma once

#include "jujubetide/base/units.h"

#include <deque>

namespace jujubetide {

/// The load that all nodes together put on a service, each part as a number of servers that it
/// would use up completely.
struct service_load {
    /// Server time that the arriving calls need per second.
    double busy = 0.0;
    /// Places taken by the calls in progress.
    double occupied = 0.0;
    /// KV cache that these calls hold.
    double memory = 0.0;
};

/// Forecasts a service's load for the time until servers that are ordered now have booted: at least
/// its recent peak, and as much more than now as it has risen before within such a time. Not
/// thread-safe.
class demand_forecast {
public:
    [[nodiscard]] service_load update(const service_load& load, micros boot_time, time_point now);

private:
    struct sample {
        time_point at{};
        double busy = 0.0;
    };
    /// Updates and returns the largest recent rise within `boot_time`, as a factor.
    double rise(double busy, micros boot_time, time_point now);

    std::deque<sample> history_;
    double rise_ = 0.0;
    service_load peak_;
    time_point updated_{};
    bool has_peak_ = false;
};

} // namespace jujubetide
