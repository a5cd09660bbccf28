#include "jujubetide/serving/usage_cap.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Part of its burst that a bucket holds at a node's start: the other part may just have been used,
/// by this node before it restarted or by those that it has not heard yet.
constexpr double level_at_start = 0.5;
/// How far one round of digests moves the own bucket towards the peers'. Buckets that a restart or
/// a partition set apart agree again within seconds; otherwise the fullest one would admit
/// everything under a load beyond the cap, and nodes with emptier ones nothing. Less than what a
/// round itself tells, since the peers' levels do not know of the last calls here.
constexpr double agreement_of_round = 0.1;
/// Time constant of the smoothed usage that the others are asked for, in seconds: a few digests.
constexpr double asked_memory_s = 0.6;
/// Shortest wait of a refused caller, and where the bucket never fills.
constexpr double least_wait_s = 0.3;
constexpr double wait_without_rate_s = 1.0;

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

} // namespace

usage_cap::bucket& usage_cap::refill(const serving_customer& customer, time_point now) {
    bucket& own = buckets_[customer.id];
    if (!own.known) {
        own.known = true;
        own.level = customer.cap_burst * level_at_start;
        own.updated = now;
    }
    own.rate = customer.cap_per_second * part_;
    own.burst = customer.cap_burst * part_;
    own.level = level_at(own, now);
    own.updated = now;
    return own;
}

double usage_cap::level_at(const bucket& one, time_point now) {
    const double added = one.rate * std::max(0.0, seconds(now - one.updated));
    return std::min(one.burst, one.level + added);
}

double usage_cap::peers_asked_at(const bucket& one, time_point now) {
    return one.peers_asked *
           std::exp(-std::max(0.0, seconds(now - one.peers_updated)) / asked_memory_s);
}

usage_cap::decision usage_cap::admit(const serving_customer& customer, double usage,
                                     time_point now) {
    if (customer.cap_per_second <= 0.0) {
        return {};
    }
    bucket& own = refill(customer, now);
    own_usage& used = own_[customer.id];
    used.totals.asked += usage;
    used.changed = now;
    // A call larger than the burst passes when the bucket is full.
    const double needed = std::min(usage, own.burst);
    const double level = own.level;
    if (level < needed || !passes_contention(own, now)) {
        return {false, wait_for(own, needed), level};
    }
    own.level -= usage;
    used.totals.admitted += usage;
    return {true, micros{0}, level};
}

bool usage_cap::passes_contention(const bucket& own, time_point now) {
    const double unheard = peers_asked_at(own, now) * seconds(period_);
    return own.level >= unheard || random_.uniform() * unheard < own.level;
}

micros usage_cap::wait_for(const bucket& own, double needed) {
    constexpr double micros_per_second = 1e6;
    const double until_enough =
        own.rate > 0.0 ? (needed - own.level) / own.rate : wait_without_rate_s;
    // Callers that were refused together must not come back together.
    const double spread = 1.0 + random_.uniform();
    return micros(static_cast<std::int64_t>(std::max(until_enough, least_wait_s) * spread *
                                            micros_per_second));
}

void usage_cap::refund(const serving_customer& customer, double usage, time_point now) {
    if (customer.cap_per_second <= 0.0) {
        return;
    }
    bucket& own = refill(customer, now);
    own.level = std::min(own.burst, own.level + usage);
    own_usage& used = own_[customer.id];
    used.totals.admitted -= usage;
    used.changed = now;
}

std::vector<customer_spending> usage_cap::spending(time_point now) const {
    return spending_since(time_point{}, now);
}

std::vector<customer_spending> usage_cap::recent_spending(time_point now) const {
    constexpr int repeats = 4;
    return spending_since(now - repeats * period_, now);
}

std::vector<customer_spending> usage_cap::spending_since(time_point since, time_point now) const {
    std::vector<customer_spending> list;
    for (const auto& [customer, used] : own_) {
        if (used.changed >= since) {
            list.push_back({customer, used.totals.admitted, used.totals.asked,
                            level_at(buckets_.at(customer), now)});
        }
    }
    return list;
}

void usage_cap::on_peer_spending(const node_id& node, incarnation start,
                                 const std::vector<customer_spending>& spending, time_point now) {
    const bool known = peers_.contains(node);
    peer_counts& peer = peers_[node];
    // What a node admitted before it was first heard has long been refilled, and while it was
    // silent its part was left out of the buckets here.
    const bool is_back = !known || now - peer.told >= silence_limit_at(period_);
    if (peer.start != start) {
        peer.customers.clear();
    }
    for (auto& [customer, told] : peer.customers) {
        told.is_stale = told.is_stale || is_back;
    }
    peer.start = start;
    peer.told = now;
    for (const customer_spending& one : spending) {
        told_usage& told = peer.customers[one.customer];
        const bool counts = known && !told.is_stale;
        const usage_totals news{one.total - told.totals.admitted, one.asked - told.totals.asked};
        told = {{one.total, one.asked}, false};
        if (const auto found = buckets_.find(one.customer); found != buckets_.end()) {
            take(found->second, one, news, counts, now);
        }
    }
}

void usage_cap::take(bucket& own, const customer_spending& told, const usage_totals& news,
                     bool counts, time_point now) const {
    own.level = level_at(own, now);
    own.updated = now;
    if (!counts) {
        own.level = std::min(own.level, told.level);
        return;
    }
    own.level -= news.admitted;
    own.level += agreement_of_round / static_cast<double>(nodes_) * (told.level - own.level);
    own.peers_asked = peers_asked_at(own, now) + std::max(0.0, news.asked) / asked_memory_s;
    own.peers_updated = now;
}

void usage_cap::set_nodes(std::size_t heard, std::size_t all, micros period) {
    period_ = period;
    nodes_ = std::max<std::size_t>({1, heard, all});
    part_ = static_cast<double>(std::max<std::size_t>(1, heard)) / static_cast<double>(nodes_);
}

} // namespace jujubetide
