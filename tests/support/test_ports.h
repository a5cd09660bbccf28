#pragma once

#include <cstdint>
#include <unistd.h>

namespace jujubetide {

/// Ports that a test process may bind: others than those of test processes that run at the same
/// time, and none that the system gives to outgoing connections. `index` is below 10.
inline std::uint16_t own_port(int index) {
    constexpr int first = 20'000;
    constexpr int processes = 1'000;
    constexpr int ports_each = 10;
    return static_cast<std::uint16_t>(first + ::getpid() % processes * ports_each + index);
}

} // namespace jujubetide
