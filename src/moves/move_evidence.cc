#include "jujubetide/moves/move_evidence.h"

#include <algorithm>

namespace jujubetide {

void outcome_counts::add(bool failed, micros latency) {
    ++requests;
    if (failed) {
        ++failures;
        return;
    }
    latencies.add(latency);
}

void outcome_counts::join(const outcome_counts& other) {
    requests = std::max(requests, other.requests);
    failures = std::max(failures, other.failures);
    latencies.join(other.latencies);
}

void outcome_counts::sum(const outcome_counts& other) {
    requests += other.requests;
    failures += other.failures;
    latencies.sum(other.latencies);
}

void move_evidence::add(const evidence_owner& owner, const evidence_cell_key& key, bool failed,
                        micros latency) {
    cells_[{key.window, key.route, key.arm, owner}].add(failed, latency);
}

void move_evidence::merge(const evidence_owner& owner, const std::vector<evidence_cell>& cells) {
    for (const auto& [key, counts] : cells) {
        cells_[{key.window, key.route, key.arm, owner}].join(counts);
    }
}

std::vector<evidence_cell> move_evidence::cells_of(const evidence_owner& owner,
                                                   move_window first) const {
    std::vector<evidence_cell> list;
    cell_place from;
    from.window = first;
    for (auto it = cells_.lower_bound(from); it != cells_.end(); ++it) {
        const cell_place& place = it->first;
        if (place.owner == owner) {
            list.push_back({{place.route, place.window, place.arm}, it->second});
        }
    }
    return list;
}

std::map<route_id, move_evidence::arm_counts> move_evidence::totals(move_window window) const {
    std::map<route_id, arm_counts> sums;
    cell_place from;
    from.window = window;
    for (auto it = cells_.lower_bound(from); it != cells_.end(); ++it) {
        if (it->first.window != window) {
            break;
        }
        sums[it->first.route].at(static_cast<std::size_t>(it->first.arm)).sum(it->second);
    }
    return sums;
}

void move_evidence::forget_before(move_window first) {
    cell_place until;
    until.window = first;
    cells_.erase(cells_.begin(), cells_.lower_bound(until));
}

} // namespace jujubetide
