#include "jujubetide/membership/failure_detector.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Removes and returns the nodes whose time lies at least `age` back, in the order of their ids.
std::vector<node_id> take_older(absl::flat_hash_map<node_id, time_point>& times, time_point now,
                                micros age) {
    std::vector<node_id> old;
    for (const auto& [node, since] : times) {
        if (now - since >= age) {
            old.push_back(node);
        }
    }
    for (const node_id& node : old) {
        times.erase(node);
    }
    std::sort(old.begin(), old.end());
    return old;
}

} // namespace

void failure_detector::set_neighbours(const std::vector<node_id>& neighbours, time_point now) {
    absl::flat_hash_map<node_id, time_point> heard;
    for (const node_id& node : neighbours) {
        const auto known = last_heard_.find(node);
        heard.emplace(node, known == last_heard_.end() ? now : known->second);
    }
    last_heard_ = std::move(heard);
}

void failure_detector::on_heard(const node_id& node, time_point now) {
    const auto known = last_heard_.find(node);
    if (known != last_heard_.end()) {
        known->second = now;
    }
}

void failure_detector::on_alive(const node_id& node) {
    suspected_since_.erase(node);
    dead_since_.erase(node);
}

void failure_detector::on_suspected(const node_id& node, time_point now) {
    dead_since_.erase(node);
    suspected_since_.try_emplace(node, now);
}

void failure_detector::on_dead(const node_id& node, time_point now) {
    suspected_since_.erase(node);
    last_heard_.erase(node);
    dead_since_.try_emplace(node, now);
}

void failure_detector::pardon_all(time_point now) {
    for (auto& [node, heard] : last_heard_) {
        heard = now;
    }
    for (auto& [node, since] : suspected_since_) {
        since = now;
    }
}

failure_verdicts failure_detector::check(time_point now) {
    failure_verdicts verdicts;
    verdicts.own_pause = checked_ && now - last_check_ > limits_.own_pause;
    checked_ = true;
    last_check_ = now;
    if (verdicts.own_pause) {
        pardon_all(now);
        return verdicts;
    }
    for (auto& [node, heard] : last_heard_) {
        if (now - heard >= limits_.suspect_after && !suspected_since_.contains(node)) {
            verdicts.suspected.push_back(node);
        }
    }
    std::sort(verdicts.suspected.begin(), verdicts.suspected.end());
    verdicts.dead = take_older(suspected_since_, now, limits_.dead_after);
    verdicts.forgotten = take_older(dead_since_, now, limits_.forget_after);
    return verdicts;
}

} // namespace jujubetide
