#include "jujubetide/serving/customer_shares.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace jujubetide {
namespace {

/// Shares are enforced from this wait on, as a part of the target: shorter waits cost no caller its
/// answer in time.
constexpr double pressure_threshold = 0.25;
/// The room is taken to be smaller than the demand by at most this part.
constexpr double max_reduction = 0.6;
/// A customer may use this multiple of its share before it is refused.
constexpr double tolerance = 1.1;
/// Smoothing of the wait: least weight of an observation, and the time after which it counts fully.
constexpr double min_wait_weight = 0.2;
constexpr micros wait_memory{300'000};
/// Time for which the customers' demand is computed once.
constexpr micros claims_period{50'000};
/// A customer without usage for this time is forgotten.
constexpr micros idle_timeout{60'000'000};
constexpr double no_limit = std::numeric_limits<double>::max();

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void customer_shares::on_call(const call& received) {
    customer_state& state = customers_[received.customer];
    state.cap_per_second = received.cap_per_second;
    state.own.add(received.usage, received.now);
    state.own_latest.add(received.usage, received.now);
    state.own_calls.add(1.0, received.now);
    state.changed = received.now;
}

void customer_shares::on_wait(const service_id& service, urgency_level urgency, double ratio,
                              time_point now) {
    smoothed_wait& wait = services_[service][urgency.value()];
    const double age = seconds(std::max(micros{0}, now - wait.updated));
    const double weight = std::max(min_wait_weight, 1.0 - std::exp(-age / seconds(wait_memory)));
    wait.ratio += weight * (std::min(ratio, 1.0) - wait.ratio);
    wait.updated = now;
}

double customer_shares::wait_at(const smoothed_wait& wait, time_point now) {
    // Without calls there is nothing that waits.
    constexpr micros validity{1'000'000};
    return now - wait.updated < validity ? wait.ratio : 0.0;
}

void customer_shares::on_peer_usage(const node_id& node, incarnation start,
                                    const std::vector<customer_usage>& reports, time_point now) {
    peer_record& peer = peers_[node];
    if (peer.start != start) {
        peer.customers.clear();
        peer.start = start;
    }
    for (const customer_usage& usage : reports) {
        const reported_totals totals{usage.admitted, usage.requested};
        const auto [found, is_new] = peer.customers.try_emplace(usage.customer, totals);
        const reported_totals before = std::exchange(found->second, totals);
        customer_state& state = customers_[usage.customer];
        state.is_reported = true;
        if (!is_new && usage.requested > before.requested) {
            state.peers_requested.add(usage.requested - before.requested, now);
            state.peers_admitted.add(std::max(0.0, usage.admitted - before.admitted), now);
            state.changed = now;
        }
    }
}

double customer_shares::demand_of(const customer_state& state, time_point now) const {
    const double own = state.own.rate(now);
    double elsewhere = own * static_cast<double>(node_count_ - 1);
    if (state.is_reported) {
        elsewhere = state.peers_requested.rate(now);
        if (state.cap_per_second > 0.0) {
            elsewhere =
                std::max(state.peers_admitted.rate(now), std::min(elsewhere, state.cap_per_second));
        }
    }
    // Peers report what has passed; a jump shows in the calls that this node has just got. They are
    // a sample: one standard deviation is taken off.
    const double calls = std::max(1.0, state.own_calls.at(now));
    const double seen = state.own_latest.rate(now) * static_cast<double>(node_count_) *
                        (1.0 - 1.0 / std::sqrt(calls));
    return std::max(own + elsewhere, seen);
}

const std::vector<customer_shares::claim>& customer_shares::claims(time_point now) {
    if (now - claims_updated_ < claims_period && !claims_.empty()) {
        return claims_;
    }
    claims_updated_ = now;
    absl::erase_if(customers_,
                   [now](const auto& entry) { return now - entry.second.changed >= idle_timeout; });
    claims_.clear();
    double caps = 0.0;
    std::size_t capped = 0;
    for (const auto& [customer, state] : customers_) {
        const double cap = state.cap_per_second;
        claims_.push_back({customer, demand_of(state, now), cap});
        caps += cap;
        capped += cap > 0.0 ? 1 : 0;
    }
    const double usual_weight = capped > 0 ? caps / static_cast<double>(capped) : 1.0;
    for (claim& each : claims_) {
        each.weight = each.weight > 0.0 ? each.weight : usual_weight;
    }
    std::sort(claims_.begin(), claims_.end(), [](const claim& a, const claim& b) {
        return std::pair(a.per_weight(), a.customer) < std::pair(b.per_weight(), b.customer);
    });
    claim_indices_.clear();
    for (std::size_t i = 0; i < claims_.size(); ++i) {
        claim_indices_[claims_[i].customer] = i;
    }
    return claims_;
}

namespace {

/// The level at which claims, cut off there for each unit of weight, add up to `room`.
template <class Claim>
double max_min_level(std::span<const Claim> claims, double room) {
    double weight = 0.0;
    for (const Claim& each : claims) {
        weight += each.weight;
    }
    for (const Claim& each : claims) {
        if (each.per_weight() * weight >= room) {
            return room / weight;
        }
        room -= each.demand;
        weight -= each.weight;
    }
    return no_limit;
}

/// The demand for each unit of weight of the typical customer: the mean, or the weighted median
/// if that is lower, which one large claim does not move.
template <class Claim>
double typical_level(std::span<const Claim> claims) {
    double demand = 0.0;
    double weight = 0.0;
    for (const Claim& each : claims) {
        demand += each.demand;
        weight += each.weight;
    }
    double below = 0.0;
    for (const Claim& each : claims) {
        below += each.weight;
        if (below * 2.0 >= weight) {
            return std::min(each.per_weight(), demand / weight);
        }
    }
    return no_limit;
}

} // namespace

double customer_shares::limit_per_weight(const service_id& service, time_point now) {
    const double wait = pressure(service, now);
    if (wait <= pressure_threshold) {
        return no_limit;
    }
    const std::span<const claim> all = claims(now);
    double demand = 0.0;
    for (const claim& each : all) {
        demand += each.demand;
    }
    const double reduction =
        std::min(max_reduction, (wait - pressure_threshold) / (1.0 - pressure_threshold));
    // A demand that is high for all customers is left to the calls' urgency.
    return std::max(max_min_level(all, demand * (1.0 - reduction)), typical_level(all));
}

bool customer_shares::is_excess(const call& received) {
    const double limit = limit_per_weight(received.service, received.now);
    if (limit == no_limit) {
        return false;
    }
    const auto found = claim_indices_.find(received.customer);
    if (found == claim_indices_.end()) {
        return false;
    }
    const claim& own = claims_[found->second];
    if (own.per_weight() <= limit * tolerance) {
        return false;
    }
    // What the caps refund for refused calls lets others through: the part to refuse follows from
    // the calls that arrive here.
    const customer_state& state = customers_.at(received.customer);
    const double here = state.own.rate(received.now);
    const double reported = here + state.peers_requested.rate(received.now);
    const double part_of_node =
        std::max(1.0 / static_cast<double>(node_count_), reported > 0.0 ? here / reported : 1.0);
    return random_.uniform() * here >= limit * own.weight * part_of_node;
}

double customer_shares::excess_part(const service_id& service, time_point now) {
    const double limit = limit_per_weight(service, now);
    if (limit == no_limit) {
        return 0.0;
    }
    double excess = 0.0;
    double total = 0.0;
    for (const claim& each : claims_) {
        total += each.demand;
        if (each.per_weight() > limit * tolerance) {
            excess += each.demand - limit * each.weight;
        }
    }
    return total > 0.0 ? excess / total : 0.0;
}

double customer_shares::pressure(const service_id& service, time_point now) const {
    const auto levels = services_.find(service);
    double highest = 0.0;
    if (levels != services_.end()) {
        for (const smoothed_wait& wait : levels->second) {
            highest = std::max(highest, wait_at(wait, now));
        }
    }
    return highest;
}

std::size_t customer_shares::customers_beyond_share(time_point now) {
    double lowest = no_limit;
    for (const auto& [service, levels] : services_) {
        lowest = std::min(lowest, limit_per_weight(service, now));
    }
    if (lowest == no_limit) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(claims_.begin(), claims_.end(), [lowest](const claim& each) {
            return each.per_weight() > lowest * tolerance;
        }));
}

} // namespace jujubetide
