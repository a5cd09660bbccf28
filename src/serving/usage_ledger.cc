#include "jujubetide/serving/usage_ledger.h"

namespace jujubetide {

usage_window usage_ledger::window_at(wall_time at) const {
    return usage_window(at.time_since_epoch() / length_);
}

wall_time usage_ledger::end_of(usage_window window) const {
    return wall_time(length_ * (window.value() + 1));
}

void usage_ledger::count(const customer_id& customer, wall_time began) {
    const usage_window window = window_at(began);
    ++own_[window][customer];
    trim(own_.rbegin()->first);
}

void usage_ledger::on_peer_counts(const node_id& node, incarnation start, usage_window window,
                                  const usage_counts& counts) {
    peers_[window][{node, start}] = counts;
    trim(peers_.rbegin()->first);
}

std::vector<usage_record> usage_ledger::all(const node_id& self, incarnation start) const {
    std::vector<usage_record> records;
    for (const auto& [window, counts] : own_) {
        records.push_back({self, start, window, counts});
    }
    for (const auto& [window, told] : peers_) {
        for (const auto& [node, counts] : told) {
            records.push_back({node.first, node.second, window, counts});
        }
    }
    return records;
}

usage_counts usage_ledger::total(usage_window window) const {
    usage_counts sum;
    if (const auto own = own_.find(window); own != own_.end()) {
        sum = own->second;
    }
    if (const auto told = peers_.find(window); told != peers_.end()) {
        for (const auto& [node, counts] : told->second) {
            for (const auto& [customer, count] : counts) {
                sum[customer] += count;
            }
        }
    }
    return sum;
}

void usage_ledger::trim(usage_window newest) {
    const usage_window oldest(newest.value() - kept_windows);
    std::erase_if(own_, [oldest](const auto& item) { return item.first < oldest; });
    std::erase_if(peers_, [oldest](const auto& item) { return item.first < oldest; });
}

} // namespace jujubetide
