#pragma once

#include "jujubetide/base/clock.h"

#include <atomic>

namespace jujubetide {

/// A clock that tests move by hand. Thread-safe.
class manual_clock final : public clock {
public:
    void advance(micros step) { offset_ += step.count(); }

protected:
    time_point do_now() const override { return time_point(micros(offset_.load())); }
    wall_time do_wall_now() const override {
        constexpr millis start_of_civil_time{1'700'000'000'000};
        return wall_time(start_of_civil_time + to_millis(micros(offset_.load())));
    }

private:
    std::atomic<std::int64_t> offset_{1'000'000};
};

} // namespace jujubetide
