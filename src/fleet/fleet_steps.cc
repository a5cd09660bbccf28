#include "jujubetide/fleet/fleet_steps.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Capacities that differ by less, as a part of the required one, are equal.
constexpr double relative_tolerance = 1e-9;

std::size_t count_of(const host_counts& hosts, const host_offer& offer) {
    const auto found = hosts.find(offer);
    return found == hosts.end() ? 0 : found->second;
}

/// The starts that one service needs, of each offer by turns so that no failure domain is last.
std::vector<fleet_start> missing_starts(const service_plan& plan, const host_counts& running) {
    std::vector<fleet_start> starts;
    host_counts have = running;
    bool added = true;
    while (added) {
        added = false;
        for (const auto& [offer, count] : plan.hosts) {
            if (count_of(have, offer) < count) {
                ++have[offer];
                starts.push_back({plan.service, offer});
                added = true;
            }
        }
    }
    return starts;
}

/// The part of its required capacity that a service has after the worst loss, with the hosts that
/// start.
double covered_part(const fleet_problem& problem, const service_demand& demand,
                    const host_counts& running) {
    const double required = demand.required_rate();
    return required <= 0.0 ? 1.0
                           : capacity_after_worst_loss(running, problem.work_rates) / required;
}

void add_starts(const fleet_problem& problem, const fleet_plan& plan,
                const std::vector<fleet_host>& hosts, fleet_steps& steps) {
    const auto loading = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [](const fleet_host& host) {
            return host.state == fleet_host_state::starting;
        }));
    auto running = running_hosts(hosts);
    std::vector<std::vector<fleet_start>> waiting;
    for (const service_plan& service : plan.services) {
        waiting.push_back(missing_starts(service, running[service.service]));
        std::reverse(waiting.back().begin(), waiting.back().end());
    }
    for (std::size_t used = loading; used < problem.weight_loads_at_once; ++used) {
        std::size_t neediest = waiting.size();
        double least = 0.0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            const service_demand& demand = problem.demands[i];
            const double part = covered_part(problem, demand, running[demand.service]);
            if (!waiting[i].empty() && (neediest == waiting.size() || part < least)) {
                neediest = i;
                least = part;
            }
        }
        if (neediest == waiting.size()) {
            return;
        }
        const fleet_start& start = waiting[neediest].back();
        ++running[start.service][start.offer];
        steps.starts.push_back(start);
        waiting[neediest].pop_back();
    }
}

/// Drains the hosts of a service that the plan does not have. Starting hosts go first: they serve
/// nobody yet.
void add_drains(const fleet_problem& problem, const service_demand& demand,
                const service_plan& plan, const std::vector<fleet_host>& hosts,
                fleet_steps& steps) {
    auto running = running_hosts(hosts)[demand.service];
    host_counts serving = hosts_in_state(hosts, demand.service, fleet_host_state::serving);
    const double required = demand.required_rate() * (1.0 - relative_tolerance);
    for (const fleet_host_state state : {fleet_host_state::starting, fleet_host_state::serving}) {
        for (const fleet_host& host : hosts) {
            if (host.service != demand.service || host.state != state ||
                running[host.offer] <= count_of(plan.hosts, host.offer)) {
                continue;
            }
            if (state == fleet_host_state::serving) {
                host_counts others = serving;
                --others[host.offer];
                if (capacity_after_worst_loss(others, problem.work_rates) < required) {
                    continue;
                }
                serving = others;
            }
            --running[host.offer];
            steps.drains.push_back(host.start_id);
        }
    }
}

} // namespace

std::map<service_id, host_counts> running_hosts(const std::vector<fleet_host>& hosts) {
    std::map<service_id, host_counts> running;
    for (const fleet_host& host : hosts) {
        if (host.state == fleet_host_state::starting || host.state == fleet_host_state::serving) {
            ++running[host.service][host.offer];
        }
    }
    return running;
}

host_counts hosts_in_state(const std::vector<fleet_host>& hosts, const service_id& service,
                           fleet_host_state state) {
    host_counts counts;
    for (const fleet_host& host : hosts) {
        if (host.service == service && host.state == state) {
            ++counts[host.offer];
        }
    }
    return counts;
}

fleet_steps next_fleet_steps(const fleet_problem& problem, const fleet_plan& plan,
                             const std::vector<fleet_host>& hosts) {
    fleet_steps steps;
    add_starts(problem, plan, hosts, steps);
    for (std::size_t i = 0; i < plan.services.size(); ++i) {
        add_drains(problem, problem.demands[i], plan.services[i], hosts, steps);
    }
    for (const fleet_host& host : hosts) {
        if (host.state == fleet_host_state::drained) {
            steps.stops.push_back(host.start_id);
        }
    }
    return steps;
}

} // namespace jujubetide
