#include "jujubetide/serving/version_trials.h"

#include <algorithm>
#include <limits>

namespace jujubetide {
namespace {

/// Whether the servers of `version` started after those of the service's other versions: an order
/// to move back names the version that has served before.
bool is_newest(const version_id& version, const service_id& service, const backend_list& servers) {
    std::int64_t first_start = std::numeric_limits<std::int64_t>::max();
    std::int64_t first_start_of_others = std::numeric_limits<std::int64_t>::max();
    for (const auto& [id, entry] : servers.all()) {
        if (entry.server.service == service) {
            std::int64_t& first =
                entry.server.version == version ? first_start : first_start_of_others;
            first = std::min(first, entry.server.started_at_ms);
        }
    }
    return first_start >= first_start_of_others;
}

} // namespace

bool version_trials::on_order(const move_order& order) {
    const auto [known, is_new] = trials_.try_emplace(order.service);
    if (!is_new && known->second.version == order.to) {
        return false;
    }
    known->second = trial{};
    known->second.version = order.to;
    return true;
}

void version_trials::on_order_removed(const service_id& service) {
    const auto found = trials_.find(service);
    if (found != trials_.end() && !found->second.is_stopped) {
        trials_.erase(found);
    }
}

bool version_trials::may_send(const backend_server& server, const backend_list& servers) const {
    const auto found = trials_.find(server.service);
    if (found == trials_.end() || found->second.version != server.version) {
        return true;
    }
    const trial& of = found->second;
    if (!of.is_stopped && static_cast<double>(of.calls_to_version + 1) <=
                              share_ * static_cast<double>(of.calls + 1)) {
        return true;
    }
    return !is_newest(server.version, server.service, servers);
}

void version_trials::on_sent(const backend_server& server) {
    const auto found = trials_.find(server.service);
    if (found != trials_.end()) {
        ++found->second.calls;
        found->second.calls_to_version += found->second.version == server.version ? 1 : 0;
    }
}

bool version_trials::on_answer(const backend_server& server, bool is_bad) {
    const auto found = trials_.find(server.service);
    if (!is_bad || found == trials_.end() || found->second.version != server.version) {
        return false;
    }
    ++found->second.bad_answers;
    return update_stop(found->second);
}

bool version_trials::update_stop(trial& of) {
    std::uint64_t bad = of.bad_answers;
    for (const auto& [peer, count] : of.peers_bad_answers) {
        bad += count;
    }
    const bool was_stopped = of.is_stopped;
    of.is_stopped = was_stopped || bad >= max_bad_answers;
    return of.is_stopped && !was_stopped;
}

std::vector<trial_report> version_trials::reports() const {
    std::vector<trial_report> list;
    for (const auto& [service, of] : trials_) {
        list.push_back({service, of.version, of.bad_answers, of.is_stopped});
    }
    return list;
}

std::vector<move_order> version_trials::on_peer_reports(const node_id& peer,
                                                        const std::vector<trial_report>& reports) {
    std::vector<move_order> stopped;
    for (const trial_report& report : reports) {
        // The order itself comes with the operators' table; a node that has none yet learns it
        // here.
        const auto [known, is_new] = trials_.try_emplace(report.service);
        trial& of = known->second;
        if (is_new) {
            of.version = report.version;
        }
        if (of.version != report.version) {
            continue;
        }
        const bool was_stopped = of.is_stopped;
        of.peers_bad_answers[peer] = report.bad_answers;
        of.is_stopped = of.is_stopped || report.is_stopped;
        if (update_stop(of) || (of.is_stopped && !was_stopped)) {
            stopped.push_back({report.service, report.version});
        }
    }
    return stopped;
}

} // namespace jujubetide
