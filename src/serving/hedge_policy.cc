#include "jujubetide/serving/hedge_policy.h"

#include "jujubetide/serving/retry_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace jujubetide {
namespace {

/// Slow calls per second attempt of the limit: some of them have no server that could help.
constexpr double slow_per_hedge = 1.5;
constexpr double max_slow_share = 0.5;

} // namespace

hedge_class hedge_class::make(service_id service, call_kind kind, std::uint64_t size) {
    return {std::move(service), kind, static_cast<unsigned>(std::bit_width(size))};
}

std::string_view name_of(hedge_verdict verdict) {
    switch (verdict) {
    case hedge_verdict::send:
        return "send";
    case hedge_verdict::off:
        return "off";
    case hedge_verdict::restricted_server:
        return "restricted_server";
    case hedge_verdict::same_condition:
        return "same_condition";
    case hedge_verdict::pressure:
        return "pressure";
    case hedge_verdict::no_budget:
        return "no_budget";
    }
    return "unknown";
}

bool hedge_policy::may_hedge(const serving_route& route) {
    return retry_policy::can_rerun(route) && route.max_attempts > 1;
}

void hedge_policy::on_call(const service_id& service) {
    if (is_on()) {
        double& saved = services_[service].saved;
        saved = std::min(max_saved, saved + share_);
    }
}

void hedge_policy::on_refused(const service_id& service, time_point now) {
    if (is_on()) {
        services_[service].refused_at = now;
    }
}

micros hedge_policy::scaled(micros time, micros from, micros to) {
    const double factor = static_cast<double>(to.count()) / static_cast<double>(from.count());
    return micros(std::llround(static_cast<double>(time.count()) * factor));
}

void hedge_policy::on_answer(const hedge_call& call, micros latency, time_point now) {
    if (!is_on()) {
        return;
    }
    latencies_[call.of].add(latency, now);
    if (call.expected > micros{0}) {
        services_[call.of.service].relative.add(scaled(latency, call.expected, usual_estimate),
                                                now);
    }
}

void hedge_policy::on_cancelled(const hedge_call& call, micros elapsed, time_point now) {
    if (!is_on()) {
        return;
    }
    latencies_[call.of].add_at_least(elapsed, now);
    if (call.expected > micros{0}) {
        services_[call.of.service].relative.add_at_least(
            scaled(elapsed, call.expected, usual_estimate), now);
    }
}

std::optional<micros> hedge_policy::delay(const hedge_call& call) const {
    if (!is_on()) {
        return std::nullopt;
    }
    const auto own = latencies_.find(call.of);
    if (own != latencies_.end() && own->second.weight() >= min_samples) {
        return slow_after(own->second);
    }
    const auto service = services_.find(call.of.service);
    if (call.expected <= micros{0} || service == services_.end() ||
        service->second.relative.weight() < min_samples) {
        return std::nullopt;
    }
    const std::optional<micros> slow = slow_after(service->second.relative);
    return slow ? std::optional(scaled(*slow, usual_estimate, call.expected)) : std::nullopt;
}

std::optional<micros> hedge_policy::slow_after(const latency_histogram& known) const {
    const micros slow = known.quantile(1.0 - std::min(max_slow_share, slow_per_hedge * share_));
    // Another attempt takes a median; it pays if the first one is likely to need longer than that.
    if (known.mean_rest(slow) <= known.quantile(0.5)) {
        return std::nullopt;
    }
    return slow;
}

hedge_verdict hedge_policy::try_hedge(const service_id& service, const hedge_servers& servers,
                                      time_point now) {
    if (!is_on()) {
        return hedge_verdict::off;
    }
    if (servers.is_second_restricted) {
        return hedge_verdict::restricted_server;
    }
    if (servers.in_same_failure_domain && servers.second_running >= servers.first_running) {
        return hedge_verdict::same_condition;
    }
    service_state& own = services_[service];
    const bool refused_lately = own.refused_at && now - *own.refused_at < pause_after_refusal;
    const bool is_loaded =
        static_cast<double>(servers.running) > max_load * static_cast<double>(servers.slots);
    if (refused_lately || is_loaded || servers.second_running >= servers.second_slots) {
        return hedge_verdict::pressure;
    }
    if (own.saved < 1.0) {
        return hedge_verdict::no_budget;
    }
    own.saved -= 1.0;
    return hedge_verdict::send;
}

} // namespace jujubetide
