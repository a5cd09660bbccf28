#include "model/server_market.h"

#include <algorithm>

namespace jujubetide::model {

bool server_market::order(const server_group& group, unsigned count, time_point now) {
    std::vector<time_point>& servers = booted_at_[group];
    if (servers.size() > count) {
        servers.resize(count);
    }
    if (servers.size() < count && group.reclaimable && now < dry_until_) {
        return false;
    }
    servers.resize(count, now + limits_.boot_time);
    return true;
}

void server_market::reclaim(const failure_domain_id& domain, time_point dry_until) {
    booted_at_[{domain, true}].clear();
    dry_until_ = dry_until;
}

server_counts server_market::present(time_point now) const {
    server_counts counts;
    for (const auto& [group, servers] : booted_at_) {
        counts[group] = static_cast<unsigned>(std::count_if(
            servers.begin(), servers.end(), [now](time_point booted) { return booted <= now; }));
    }
    return counts;
}

double server_market::price_per_second() const {
    double sum = 0.0;
    for (const auto& [group, servers] : booted_at_) {
        const double factor = group.reclaimable ? limits_.reclaimable_price.value_or(1.0) : 1.0;
        sum +=
            limits_.prices.at(group.failure_domain) * factor * static_cast<double>(servers.size());
    }
    return sum;
}

} // namespace jujubetide::model
