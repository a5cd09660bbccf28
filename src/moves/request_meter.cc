#include "jujubetide/moves/request_meter.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr micros period{30'000'000};
/// A rate over less time would be chance.
constexpr micros least_length{1'000'000};

} // namespace

void request_meter::periods::roll(time_point now) {
    if (begin == time_point{} || now - begin >= 2 * period) {
        *this = {now, 0, 0, begin != time_point{}};
    } else if (now - begin >= period) {
        *this = {begin + period, 0, current, true};
    }
}

void request_meter::count(const service_id& service, time_point now) {
    services_.update(service, [now](periods& counted) {
        counted.roll(now);
        ++counted.current;
    });
}

double request_meter::rate(const service_id& service, time_point now) const {
    auto counted = services_.get(service);
    if (!counted) {
        return 0.0;
    }
    counted->roll(now);
    const micros length = std::max<micros>(
        least_length, now - counted->begin + (counted->has_previous ? period : micros{0}));
    const auto requests = static_cast<double>(counted->current + counted->previous);
    return requests / std::chrono::duration<double>(length).count();
}

} // namespace jujubetide
