#include "jujubetide/moves/trial_version_selector.h"

#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/moves/move_planner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

/// Requests by which a version may run ahead of its share, and save up when behind.
constexpr double credit_limit = 16.0;
/// How long after a report was sent its answer permits to send to the version under trial.
constexpr millis permit_length{4'000};
/// Part of a server by which its load may be over before another one is taken in.
constexpr double overload_tolerance = 0.15;
/// Closed windows that a report repeats, in case a message was lost.
constexpr std::uint32_t reported_windows = 3;
/// The false-alarm rate counts each node at least this often, for nodes replaced during the move.
constexpr std::size_t replacement_factor = 2;

bool is_on(const version_move& move) {
    return move.state == move_state::canary || move.state == move_state::ramp;
}

bool hash_within(const version_move& move, const request_id& request, double share) {
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const auto hash = static_cast<double>(stable_hash(request.str(), stable_hash(move.id.str())));
    return hash < share * hash_range;
}

move_window earlier(move_window window, std::uint32_t count) {
    return move_window(window.value() > count ? window.value() - count : 0);
}

std::size_t servers_needed(double share, double running, double max_running) {
    const double servers = share * running / (max_running * full_server_load);
    return static_cast<std::size_t>(std::max(1.0, std::ceil(servers - overload_tolerance)));
}

} // namespace

trial_version_selector::trial_version_selector(evidence_owner self, dependencies parts)
    : self_(std::move(self)), parts_(parts) {}

version_id trial_version_selector::do_select(const service_settings& service,
                                             const route_id& /*route*/, const request_id& request) {
    meter_.count(service.id, parts_.time.now());
    const auto move = parts_.board.moves.of_service(service.id);
    if (!move || service.version != move->from) {
        return service.version;
    }
    if (move->state == move_state::done) {
        return move->to;
    }
    if (!is_on(*move) || !within_share(service, *move, request)) {
        return service.version;
    }
    return move->to;
}

bool trial_version_selector::within_share(const service_settings& service, const version_move& move,
                                          const request_id& request) {
    return trials_.update(service.id, [&](trial_state& state) {
        follow(state, move);
        state.routes = std::max<std::size_t>(service.routes.size(), 1);
        state.credit = std::min(state.credit + move.share, credit_limit);
        if (state.permitted_until <= parts_.time.now() || !hash_within(move, request, move.share) ||
            state.credit <= -credit_limit) {
            return false;
        }
        state.credit -= 1.0;
        return true;
    });
}

void trial_version_selector::confirm(const service_id& service, const move_id& move,
                                     sequence_number step, time_point sent_at) {
    const auto known = parts_.board.moves.of_service(service);
    if (!known || known->id != move || known->step < step) {
        return;
    }
    trials_.update(service, [&](trial_state& state) {
        follow(state, *known);
        state.permitted_until = std::max(state.permitted_until, sent_at + permit_length);
    });
}

void trial_version_selector::follow(trial_state& state, const version_move& move) {
    if (state.move == move.id) {
        return;
    }
    state = trial_state{};
    state.move = move.id;
    state.tests = std::make_shared<move_tests>(planned_windows(move));
}

void trial_version_selector::do_record(const version_outcome& outcome) {
    const auto move = parts_.board.moves.of_service(outcome.service);
    if (!move || !is_on(*move) || (outcome.version != move->from && outcome.version != move->to)) {
        return;
    }
    if (runs_on_leaving_host(outcome.server)) {
        return;
    }
    const auto arm = outcome.version == move->to ? trial_arm::trial : trial_arm::baseline;
    const move_window window = move_window_at(*move, parts_.time.wall_now());
    const auto fault = trials_.update(outcome.service, [&](trial_state& state) {
        follow(state, *move);
        state.evidence.add(self_, {outcome.route, window, arm}, outcome.failed, outcome.latency);
        return test_closed_windows(state, window);
    });
    if (fault) {
        take_back(*move, *fault);
    }
}

bool trial_version_selector::runs_on_leaving_host(const backend_server_id& server) const {
    const snapshot_ptr settings = parts_.board.settings.current();
    const backend_server_settings* found =
        settings ? settings->find_backend_server(server) : nullptr;
    return found != nullptr && parts_.board.backends.is_leaving(found->host);
}

std::optional<move_fault> trial_version_selector::test_closed_windows(trial_state& state,
                                                                      move_window current) const {
    if (!state.next_to_test) {
        // Windows before this node's first outcome hold none of its evidence.
        state.next_to_test = current;
    }
    if (*state.next_to_test >= current) {
        return std::nullopt;
    }
    while (*state.next_to_test < current) {
        state.tests->add(state.evidence.totals(*state.next_to_test));
        state.next_to_test = state.next_to_test->next();
    }
    state.evidence.forget_before(earlier(current, reported_windows));
    alarm_budget budget;
    budget.routes = state.routes;
    budget.nodes = replacement_factor * std::max<std::size_t>(parts_.board.members.all().size(), 1);
    return state.tests->fault(budget.node_threshold());
}

void trial_version_selector::take_back(const version_move& move, const move_fault& fault) {
    const std::string evidence = absl::StrCat("node ", self_.node.str(), ": ", fault.describe());
    if (!parts_.board.moves.take_back(move.service, move.id, evidence)) {
        return;
    }
    if (const auto record = parts_.board.moves.of_service(move.service)) {
        parts_.publisher.move(*record);
    }
}

std::vector<const backend_server_settings*> trial_version_selector::do_servers(
    const service_id& service, std::span<const backend_server_settings* const> candidates) const {
    return trial_servers(service, candidates);
}

std::vector<const backend_server_settings*> trial_version_selector::trial_servers(
    const service_id& service, std::span<const backend_server_settings* const> candidates) const {
    std::vector<const backend_server_settings*> kept(candidates.begin(), candidates.end());
    const auto move = parts_.board.moves.of_service(service);
    if (!move || !is_on(*move)) {
        return kept;
    }
    const auto trial_begin =
        std::stable_partition(kept.begin(), kept.end(),
                              [&move](const auto* server) { return server->version != move->to; });
    double running = 0.0;
    for (const backend_server_settings* server : candidates) {
        running += parts_.board.backends.state(server->id).load.running;
    }
    const time_point now = parts_.time.now();
    const auto usable_end = std::stable_partition(trial_begin, kept.end(), [&](const auto* server) {
        return !parts_.board.backends.is_leaving(server->host) &&
               parts_.board.backends.state(server->id).avoid_until <= now;
    });
    if (trial_begin == usable_end) {
        return kept;
    }
    std::sort(trial_begin, usable_end, [&move](const auto* a, const auto* b) {
        return rendezvous_weight(move->id.str(), a->id.str()) >
               rendezvous_weight(move->id.str(), b->id.str());
    });
    const auto per_server = static_cast<double>((*trial_begin)->max_running);
    const std::size_t needed =
        std::min<std::size_t>(servers_needed(move->share, running, per_server),
                              static_cast<std::size_t>(usable_end - trial_begin));
    kept.erase(trial_begin + static_cast<std::ptrdiff_t>(needed), kept.end());
    return kept;
}

std::optional<evidence_report> trial_version_selector::report(const service_id& service) const {
    const auto move = parts_.board.moves.of_service(service);
    if (!move || is_recorded_end(*move)) {
        return std::nullopt;
    }
    const bool stopped = move->state == move_state::taken_back;
    evidence_report report{move->id, service, self_, move->step, stopped, {}, parts_.time.now()};
    const auto state = trials_.get(service);
    if (state && state->move == move->id) {
        const move_window current = move_window_at(*move, parts_.time.wall_now());
        report.cells = state->evidence.cells_of(self_, earlier(current, reported_windows));
    }
    return report;
}

} // namespace jujubetide
