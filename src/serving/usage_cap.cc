#include "jujubetide/serving/usage_cap.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Initial bucket level as a fraction of the burst: the rest may just have been used, by this node
/// before it restarted or by peers that have not reported yet.
constexpr double initial_level_share = 0.5;
/// Part of the operators' tolerance that callers may use.
constexpr double admitted_tolerance = 0.25;
/// Fraction of the difference by which one round of digests moves the bucket level towards the
/// peers' levels. Levels that diverged in a restart or a partition converge within seconds;
/// otherwise, under a load beyond the cap, the node with the fullest bucket would admit everything
/// and the others nothing. Kept small, since the peers' levels do not include this node's latest
/// calls.
constexpr double convergence_per_round = 0.1;
/// Time constant of the smoothed demand at the peers, in seconds: a few digests.
constexpr double demand_smoothing_s = 0.6;
/// Minimum retry delay of a refused caller, and the delay when the bucket is never refilled.
constexpr double min_retry_delay_s = 0.3;
constexpr double retry_delay_without_rate_s = 1.0;

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

usage_cap::bucket& usage_cap::refill(const serving_customer& customer, time_point now) {
    bucket& own = buckets_[customer.id];
    if (!own.is_initialized) {
        own.is_initialized = true;
        own.level = customer.cap_burst * initial_level_share;
        own.updated = now;
    }
    const double factor = (1.0 + admitted_tolerance * tolerance_.factor) * reachable_share_;
    own.rate = customer.cap_per_second * factor;
    own.burst =
        customer.cap_burst * factor + admitted_tolerance * tolerance_.usage * reachable_share_;
    own.level = level_at(own, now);
    own.updated = now;
    return own;
}

double usage_cap::level_at(const bucket& state, time_point now) {
    const double added = state.rate * std::max(0.0, seconds(now - state.updated));
    return std::min(state.burst, state.level + added);
}

double usage_cap::peer_demand_at(const bucket& state, time_point now) {
    return state.peer_demand *
           std::exp(-std::max(0.0, seconds(now - state.peer_demand_updated)) / demand_smoothing_s);
}

usage_cap::decision usage_cap::admit(const serving_customer& customer, double usage,
                                     time_point now) {
    local_usage& used = own_[customer.id];
    used.totals.requested += usage;
    used.changed = now;
    if (customer.cap_per_second <= 0.0) {
        used.totals.admitted += usage;
        return {};
    }
    bucket& own = refill(customer, now);
    // A call larger than the burst is admitted when the bucket is full.
    const double needed = std::min(usage, own.burst);
    const double level = own.level;
    if (level < needed || !is_admitted_under_contention(own, now)) {
        return {false, retry_delay(own, needed), level};
    }
    own.level -= usage;
    used.totals.admitted += usage;
    return {true, micros{0}, level};
}

bool usage_cap::is_admitted_under_contention(const bucket& own, time_point now) {
    const double unreported = peer_demand_at(own, now) * seconds(report_period_);
    return own.level >= unreported || random_.uniform() * unreported < own.level;
}

micros usage_cap::retry_delay(const bucket& own, double needed) {
    constexpr double micros_per_second = 1e6;
    const double until_enough =
        own.rate > 0.0 ? (needed - own.level) / own.rate : retry_delay_without_rate_s;
    // Callers that were refused together must not retry together.
    const double spread = 1.0 + random_.uniform();
    return micros(static_cast<std::int64_t>(std::max(until_enough, min_retry_delay_s) * spread *
                                            micros_per_second));
}

void usage_cap::refund(const serving_customer& customer, double usage, time_point now) {
    local_usage& used = own_[customer.id];
    used.totals.admitted -= usage;
    used.changed = now;
    if (customer.cap_per_second > 0.0) {
        bucket& own = refill(customer, now);
        own.level = std::min(own.burst, own.level + usage);
    }
}

std::vector<customer_usage> usage_cap::all_usage(time_point now) const {
    return usage_since(time_point{}, now);
}

std::vector<customer_usage> usage_cap::recent_usage(time_point now) const {
    constexpr int repeat_count = 4;
    return usage_since(now - repeat_count * report_period_, now);
}

std::vector<customer_usage> usage_cap::usage_since(time_point since, time_point now) const {
    std::vector<customer_usage> list;
    for (const auto& [customer, used] : own_) {
        if (used.changed >= since) {
            const auto own = buckets_.find(customer);
            list.push_back({customer, used.totals.admitted, used.totals.requested,
                            own == buckets_.end() ? 0.0 : level_at(own->second, now)});
        }
    }
    return list;
}

void usage_cap::on_peer_usage(const node_id& node, incarnation start,
                              const std::vector<customer_usage>& reports, time_point now) {
    const bool is_known = peers_.contains(node);
    peer_record& peer = peers_[node];
    // Usage from before a peer's first report has long been refilled, and while the peer did not
    // report, its share was excluded from the buckets of this node.
    const bool has_returned =
        !is_known || now - peer.reported_at >= peer_silence_timeout(report_period_);
    if (peer.start != start) {
        peer.customers.clear();
    }
    for (auto& [customer, reported] : peer.customers) {
        reported.is_stale = reported.is_stale || has_returned;
    }
    peer.start = start;
    peer.reported_at = now;
    for (const customer_usage& usage : reports) {
        reported_usage& reported = peer.customers[usage.customer];
        const bool is_charged = is_known && !reported.is_stale;
        const usage_totals delta{usage.admitted - reported.totals.admitted,
                                 usage.requested - reported.totals.requested};
        reported = {{usage.admitted, usage.requested}, false};
        if (const auto found = buckets_.find(usage.customer); found != buckets_.end()) {
            apply_peer_usage(found->second, usage, delta, is_charged, now);
        }
    }
}

void usage_cap::apply_peer_usage(bucket& own, const customer_usage& reported,
                                 const usage_totals& delta, bool is_charged, time_point now) const {
    own.level = level_at(own, now);
    own.updated = now;
    if (!is_charged) {
        own.level = std::min(own.level, reported.level);
        return;
    }
    own.level -= delta.admitted;
    own.level +=
        convergence_per_round / static_cast<double>(node_count_) * (reported.level - own.level);
    own.peer_demand =
        peer_demand_at(own, now) + std::max(0.0, delta.requested) / demand_smoothing_s;
    own.peer_demand_updated = now;
}

void usage_cap::set_nodes(std::size_t reachable, std::size_t total, micros period) {
    report_period_ = period;
    node_count_ = std::max<std::size_t>({1, reachable, total});
    reachable_share_ =
        static_cast<double>(std::max<std::size_t>(1, reachable)) / static_cast<double>(node_count_);
}

} // namespace jujubetide
