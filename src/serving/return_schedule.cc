#include "jujubetide/serving/return_schedule.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Return times for each call that is sent: new calls need the rest of the room.
constexpr double returns_per_sent_call = 0.5;
/// Least rate of return times, where hardly any call is sent.
constexpr double min_returns_per_second = 1.0;
/// Callers honour this part of the time that they have left.
constexpr double honoured_part = 1.0 / 3.0;
/// Idle lines are forgotten beyond this number.
constexpr std::size_t max_idle_lines = 1'000;
constexpr double hardly_any = 0.01;

micros from_seconds(double value) {
    return std::chrono::duration_cast<micros>(std::chrono::duration<double>(value));
}

micros scaled(micros time, double factor) {
    return std::chrono::duration_cast<micros>(std::chrono::duration<double, std::micro>(time) *
                                              factor);
}

} // namespace

return_schedule::line& return_schedule::line_of(const service_id& service,
                                                const customer_id& customer, time_point now) {
    if (lines_.size() > max_idle_lines) {
        absl::erase_if(lines_,
                       [now](const auto& entry) { return entry.second.sent.at(now) < hardly_any; });
    }
    return lines_[{service, customer}];
}

void return_schedule::on_sent(const service_id& service, const customer_id& customer,
                              time_point now) {
    line_of(service, customer_id(), now).sent.add(1.0, now);
    if (!customer.empty()) {
        line_of(service, customer, now).sent.add(1.0, now);
    }
}

micros return_schedule::assign(const query& refused) {
    line& own = line_of(refused.service, refused.customer, refused.now);
    const micros gap = from_seconds(
        1.0 / std::max(min_returns_per_second, own.sent.rate(refused.now) * returns_per_sent_call));
    const std::size_t level = refused.urgency.value();
    const time_point first = *std::max_element(own.next.begin(), own.next.begin() + level + 1);
    const time_point slot = std::max(refused.now + refused.not_before, first);
    const micros wait = slot - refused.now + scaled(gap, random_.uniform());
    const micros honoured = scaled(refused.time_left, honoured_part);
    if (wait <= honoured) {
        own.next[level] = slot + gap;
        return wait;
    }
    if (refused.not_before > refused.time_left) {
        return wait;
    }
    // All return times that the caller can use are taken; some of those may not come back.
    constexpr double least = 0.5;
    return scaled(honoured, least + (1.0 - least) * random_.uniform());
}

} // namespace jujubetide
