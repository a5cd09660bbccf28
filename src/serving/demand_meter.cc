#include "jujubetide/serving/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Time constant of the smoothing, in seconds.
constexpr double memory_s = 4.0;

double kept_part(time_point since, time_point now) {
    const std::chrono::duration<double> age = now - since;
    return std::exp(-std::max(0.0, age.count()) / memory_s);
}

} // namespace

void demand_meter::add(const service_id& service, double server_seconds, time_point now) {
    smoothed& of = services_[service];
    of.rate = of.rate * kept_part(of.updated, now) + server_seconds / memory_s;
    of.updated = now;
}

std::map<service_id, double> demand_meter::all(time_point now) const {
    std::map<service_id, double> result;
    for (const auto& [service, of] : services_) {
        result[service] = of.rate * kept_part(of.updated, now);
    }
    return result;
}

} // namespace jujubetide
