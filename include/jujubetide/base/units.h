#pragma once

#include <chrono>
#include <cstdint>

namespace jujubetide {

using millis = std::chrono::milliseconds;
using micros = std::chrono::microseconds;

/// The clock of the system's decisions: monotonic and counting through suspension of the host.
struct steady_time_base {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = micros;
    using time_point = std::chrono::time_point<steady_time_base>;
    static constexpr bool is_steady = true;
};

/// A moment on the local monotonic clock; not comparable between hosts.
using time_point = steady_time_base::time_point;
/// A moment of civil time (UTC), as in due times and audit records.
using wall_time = std::chrono::sys_time<millis>;

/// Rounds towards zero to whole milliseconds.
constexpr millis to_millis(micros duration) {
    return std::chrono::duration_cast<millis>(duration);
}

} // namespace jujubetide
