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

std::vector<usage_record> usage_ledger::records(const node_id& self, incarnation start) const {
    std::vector<usage_record> list;
    for (const auto& [window, counts] : own_) {
        list.push_back({self, start, window, counts});
    }
    for (const auto& [window, peer_counts] : peers_) {
        for (const auto& [node, counts] : peer_counts) {
            list.push_back({node.first, node.second, window, counts});
        }
    }
    return list;
}

usage_counts usage_ledger::total(usage_window window) const {
    usage_counts sum;
    if (const auto own = own_.find(window); own != own_.end()) {
        sum = own->second;
    }
    if (const auto peer_counts = peers_.find(window); peer_counts != peers_.end()) {
        for (const auto& [node, counts] : peer_counts->second) {
            for (const auto& [customer, count] : counts) {
                sum[customer] += count;
            }
        }
    }
    return sum;
}

void usage_ledger::settle(usage_window window) {
    settled_.insert(window);
    while (settled_.size() > static_cast<std::size_t>(retained_windows)) {
        settled_.erase(settled_.begin());
    }
}

void usage_ledger::trim(usage_window newest) {
    const usage_window oldest(newest.value() - retained_windows);
    std::erase_if(own_, [oldest](const auto& item) { return item.first < oldest; });
    std::erase_if(peers_, [oldest](const auto& item) { return item.first < oldest; });
}

} // namespace jujubetide
