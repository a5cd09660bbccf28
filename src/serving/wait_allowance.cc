#include "jujubetide/serving/wait_allowance.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Without more urgent calls beside it, every call may queue for the route's target divided by
/// this.
constexpr int min_wait_divisor = 3;
/// Least rate of admission of a route relative to its service. Users accept a quarter of the mean
/// rate of answers; some of the admitted calls fail later.
constexpr double min_route_ratio = 1.0 / 3.0;
/// Least rate of admission of large prompts relative to their route; users accept a half.
constexpr double min_large_ratio = 2.0 / 3.0;
/// Routes of earlier configurations are forgotten beyond this number.
constexpr std::size_t max_idle_routes = 1'000;
/// Calls that have decayed to less than this no longer count.
constexpr double hardly_any = 0.01;
/// A level with a smaller part of the calls is not taken into account by less urgent ones.
constexpr double min_level_part = 0.02;
/// A prompt is large from this multiple of the route's mean on.
constexpr double large_prompt_factor = 1.5;

} // namespace

double wait_allowance::admission_counts::ratio(time_point now) const {
    const double all = asked.at(now);
    return all < hardly_any ? 1.0 : admitted.at(now) / all;
}

void wait_allowance::admission_counts::add(bool is_admitted, time_point now) {
    asked.add(1.0, now);
    admitted.add(is_admitted ? 1.0 : 0.0, now);
}

micros wait_allowance::wait_beside_urgent(const query& call) const {
    const auto found = services_.find(call.service);
    if (found == services_.end()) {
        return micros::max();
    }
    const double all = found->second.all.asked.at(call.now);
    const auto is_present = [&](std::size_t level) {
        return level == call.urgency.value() ||
               found->second.levels[level].calls.at(call.now) > min_level_part * all;
    };
    int present = 0;
    for (std::size_t level = 0; level < urgency_level::count; ++level) {
        present += is_present(level) ? 1 : 0;
    }
    micros shortest = micros::max();
    int more_urgent = 0;
    for (std::size_t level = call.urgency.value(); level-- > 0;) {
        if (!is_present(level)) {
            continue;
        }
        ++more_urgent;
        const level_state& of = found->second.levels[level];
        const double target = of.targets.at(call.now) / of.calls.at(call.now);
        const double part = 1.0 - static_cast<double>(more_urgent) / present;
        shortest = std::min(shortest, micros(static_cast<std::int64_t>(target * part)));
    }
    return shortest;
}

micros wait_allowance::allowed(const query& call) const {
    // A prompt whose prefill alone exceeds the target may still queue for part of it.
    const micros base = std::max<micros>(call.target - call.prefill_time - call.elapsed,
                                         call.target / min_wait_divisor);
    return std::min(base, wait_beside_urgent(call));
}

bool wait_allowance::is_within(const query& call) const {
    return call.waiting <= micros{0} ||
           (call.waiting <= allowed(call) && call.first_event <= call.time_left);
}

bool wait_allowance::decide(const query& call) {
    service_state& service = services_[call.service];
    if (service.routes.size() > max_idle_routes) {
        forget_idle_routes(service, call.now);
    }
    route_state& route = service.routes[call.route];
    level_state& level = service.levels[call.urgency.value()];
    level.calls.add(1.0, call.now);
    level.targets.add(static_cast<double>(call.target.count()), call.now);
    const bool admitted = is_within(call) || is_below_floor(service, route, call);
    service.all.add(admitted, call.now);
    route.all.add(admitted, call.now);
    if (is_large(route, call)) {
        route.large.add(admitted, call.now);
    }
    route.prompt_tokens.add(static_cast<double>(call.prompt_tokens), call.now);
    return admitted;
}

void wait_allowance::forget_idle_routes(service_state& service, time_point now) {
    absl::erase_if(service.routes, [now](const auto& entry) {
        return entry.second.all.asked.at(now) < hardly_any;
    });
}

bool wait_allowance::is_large(const route_state& route, const query& call) {
    const double mean =
        route.prompt_tokens.at(call.now) / std::max(1.0, route.all.asked.at(call.now));
    return static_cast<double>(call.prompt_tokens) > large_prompt_factor * mean;
}

bool wait_allowance::is_below_floor(const service_state& service, const route_state& route,
                                    const query& call) const {
    const double of_route = route.all.ratio(call.now);
    const bool is_route_starved = of_route < min_route_ratio * service.all.ratio(call.now);
    const bool is_size_starved =
        is_large(route, call) && route.large.ratio(call.now) < min_large_ratio * of_route;
    return (is_route_starved || is_size_starved) && call.first_event <= call.time_left;
}

} // namespace jujubetide
