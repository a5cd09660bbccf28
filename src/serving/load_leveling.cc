#include "jujubetide/serving/load_leveling.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// The level to which `work` fills the lowest of `loads`.
double filled_level(std::vector<double> loads, double work) {
    std::sort(loads.begin(), loads.end());
    double sum = 0.0;
    for (std::size_t count = 1; count <= loads.size(); ++count) {
        sum += loads[count - 1];
        const double level = (sum + work) / static_cast<double>(count);
        if (count == loads.size() || level <= loads[count]) {
            return level;
        }
    }
    return 0.0;
}

} // namespace

load_leveling::load_leveling(std::span<const double> loads, double unreported)
    : level_(filled_level({loads.begin(), loads.end()}, std::max(0.0, unreported))) {
    const double lowest = *std::min_element(loads.begin(), loads.end());
    const bool is_level = level_ <= lowest;
    for (const double load : loads) {
        weights_.push_back(is_level ? (load <= lowest ? 1.0 : 0.0) : std::max(0.0, level_ - load));
        total_weight_ += weights_.back();
    }
}

std::size_t load_leveling::draw(double uniform) const {
    double remaining = uniform * total_weight_;
    std::size_t last = 0;
    for (std::size_t i = 0; i < weights_.size(); ++i) {
        if (weights_[i] <= 0.0) {
            continue;
        }
        last = i;
        remaining -= weights_[i];
        if (remaining < 0.0) {
            break;
        }
    }
    return last;
}

} // namespace jujubetide
