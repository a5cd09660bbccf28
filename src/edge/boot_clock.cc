// CLOCK_BOOTTIME rather than CLOCK_MONOTONIC: a suspended host must see that its leases lapsed.
#include "jujubetide/edge/boot_clock.h"

#include <ctime>

namespace jujubetide {

time_point boot_clock::do_now() const {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<micros>(std::chrono::seconds(now.tv_sec) +
                                                         std::chrono::nanoseconds(now.tv_nsec)));
}

wall_time boot_clock::do_wall_now() const {
    return std::chrono::time_point_cast<millis>(std::chrono::system_clock::now());
}

} // namespace jujubetide
