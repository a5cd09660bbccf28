#include "jujubetide/serving/usage_cap.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Part of its burst that a bucket holds at a node's start: the other part may just have been used,
/// by this node before it restarted or by those that it has not heard yet.
constexpr double level_at_start = 0.5;

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
    const double added = own.rate * std::max(0.0, seconds(now - own.updated));
    own.level = std::min(own.burst, own.level + added);
    own.updated = now;
    return own;
}

usage_cap::decision usage_cap::admit(const serving_customer& customer, double usage,
                                     time_point now) {
    if (customer.cap_per_second <= 0.0) {
        return {};
    }
    bucket& own = refill(customer, now);
    // A call larger than the burst passes when the bucket is full.
    const double needed = std::min(usage, own.burst);
    if (own.level < needed) {
        const double wait = own.rate > 0.0 ? (needed - own.level) / own.rate : 1.0;
        constexpr double micros_per_second = 1e6;
        return {false, micros(static_cast<std::int64_t>(wait * micros_per_second))};
    }
    own.level -= usage;
    own_[customer.id] += usage;
    return {};
}

void usage_cap::refund(const serving_customer& customer, double usage, time_point now) {
    if (customer.cap_per_second <= 0.0) {
        return;
    }
    bucket& own = refill(customer, now);
    own.level = std::min(own.burst, own.level + usage);
    own_[customer.id] -= usage;
}

std::vector<customer_spending> usage_cap::spending() const {
    std::vector<customer_spending> list;
    for (const auto& [customer, total] : own_) {
        list.push_back({customer, total});
    }
    return list;
}

void usage_cap::on_peer_spending(const node_id& node, incarnation start,
                                 const std::vector<customer_spending>& spending, time_point now) {
    const bool known = peers_.contains(node);
    peer_total& peer = peers_[node];
    // What a node admitted before it was first heard has long been refilled.
    const bool restarted = known && peer.start != start;
    if (restarted) {
        peer.totals.clear();
    }
    peer.start = start;
    for (const customer_spending& one : spending) {
        const double delta = one.total - peer.totals[one.customer];
        peer.totals[one.customer] = one.total;
        const auto found = buckets_.find(one.customer);
        if (!known || found == buckets_.end()) {
            continue;
        }
        bucket& own = found->second;
        const double added = own.rate * std::max(0.0, seconds(now - own.updated));
        own.level = std::min(own.burst, own.level + added) - delta;
        own.updated = now;
    }
}

void usage_cap::set_nodes(std::size_t heard, std::size_t all) {
    part_ = static_cast<double>(std::max<std::size_t>(1, heard)) /
            static_cast<double>(std::max<std::size_t>({1, heard, all}));
}

} // namespace jujubetide
