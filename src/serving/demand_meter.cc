#include "jujubetide/serving/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Time constant of the smoothing, in seconds.
constexpr double smoothing_time_s = 4.0;

double decay_factor(micros age) {
    const std::chrono::duration<double> seconds = std::max(micros{0}, age);
    return std::exp(-seconds.count() / smoothing_time_s);
}

} // namespace

void demand_meter::add(const service_id& service, double server_seconds, time_point now) {
    moving_average& average = services_[service];
    average.rate =
        average.rate * decay_factor(now - average.updated) + server_seconds / smoothing_time_s;
    average.updated = now;
}

std::map<service_id, double> demand_meter::busy_servers(time_point now) const {
    std::map<service_id, double> result;
    for (const auto& [service, average] : services_) {
        result[service] = average.rate * decay_factor(now - average.updated);
    }
    return result;
}

double demand_meter::work_between(double earlier, double later, micros elapsed) {
    return std::max(0.0, later - earlier * decay_factor(elapsed)) * smoothing_time_s;
}

} // namespace jujubetide
