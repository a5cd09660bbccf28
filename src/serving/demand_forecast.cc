#include "jujubetide/serving/demand_forecast.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Time constant of the decay of a past peak, in seconds.
constexpr double peak_decay_s = 20.0;
/// Rise assumed before any was observed, and the bounds of the observed ones.
constexpr double initial_rise = 1.25;
constexpr double min_rise = 1.1;
constexpr double max_rise = 1.6;
/// Time constant of the decay of an observed rise towards `min_rise`, in seconds.
constexpr double rise_decay_s = 60.0;
/// Load below this is too small to observe a rise from, in servers.
constexpr double min_observed_load = 0.3;

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double demand_forecast::rise(double busy, micros boot_time, time_point now) {
    while (history_.size() > 1 && now - history_[1].at >= boot_time) {
        history_.pop_front();
    }
    if (history_.empty()) {
        rise_ = initial_rise;
    } else {
        const double elapsed = std::max(0.0, seconds(now - history_.back().at));
        rise_ = min_rise + (rise_ - min_rise) * std::exp(-elapsed / rise_decay_s);
        const sample& before = history_.front();
        if (now - before.at >= boot_time && before.busy >= min_observed_load) {
            rise_ = std::clamp(busy / before.busy, rise_, max_rise);
        }
    }
    history_.push_back({now, busy});
    return rise_;
}

service_load demand_forecast::update(const service_load& load, micros boot_time, time_point now) {
    const double factor = rise(load.busy, boot_time, now);
    const double kept =
        has_peak_ ? std::exp(-std::max(0.0, seconds(now - updated_)) / peak_decay_s) : 0.0;
    peak_.busy = std::max(load.busy * factor, peak_.busy * kept);
    peak_.occupied = std::max(load.occupied * factor, peak_.occupied * kept);
    peak_.memory = std::max(load.memory * factor, peak_.memory * kept);
    updated_ = now;
    has_peak_ = true;
    return peak_;
}

} // namespace jujubetide
