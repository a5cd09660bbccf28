#pragma once

#include "jujubetide/base/units.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {

/// A sum of amounts, each of which decays exponentially from when it was added.
class decaying_sum final {
public:
    /// `memory` is the time constant.
    explicit decaying_sum(micros memory) : memory_(memory) {}

    void add(double amount, time_point now) {
        value_ = at(now) + amount;
        updated_ = std::max(updated_, now);
    }
    [[nodiscard]] double at(time_point now) const {
        const std::chrono::duration<double> age = std::max(micros{0}, now - updated_);
        return value_ * std::exp(-age / std::chrono::duration<double>(memory_));
    }
    /// Mean amount per second.
    [[nodiscard]] double rate(time_point now) const {
        return at(now) / std::chrono::duration<double>(memory_).count();
    }

private:
    micros memory_;
    double value_ = 0.0;
    time_point updated_{};
};

} // namespace jujubetide
