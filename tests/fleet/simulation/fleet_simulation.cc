#include "fleet/simulation/fleet_simulation.h"

#include "fleet/fleet_cases.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/fleet/fleet_steps.h"
#include "jujubetide/fleet/refused_starts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <utility>

namespace jujubetide {
namespace {

constexpr millis step_length{10'000};
constexpr millis run_length{7'200'000};
constexpr millis plan_period{60'000};
constexpr millis price_period{60'000};
constexpr millis reclaim_at{3'600'000};
constexpr millis reclaim_notice_time{30'000};
constexpr millis drain_time{30'000};
constexpr millis refusal_time{1'200'000};
/// Most change of a price in a period, as a part of it, and its bounds against the first price.
constexpr double price_step = 0.03;
constexpr double least_price_factor = 0.6;
constexpr double most_price_factor = 1.6;
constexpr double micro = 1e-6;
constexpr double hour_ms = 3'600'000.0;

service_demand make_demand(const std::string& service, double hosts) {
    // A host of class c0 does about 100 units of work a second.
    constexpr double max_utilisation = 0.8;
    return {service_id(service), hosts * 100.0 * max_utilisation, max_utilisation};
}

struct simulated_host {
    fleet_host host;
    /// When it leaves its state, for starting and draining hosts.
    time_point until{};
};

class fleet_simulation {
public:
    fleet_simulation(const fleet_scenario& scenario, const fleet_planner& planner,
                     std::uint64_t seed, step_policy policy)
        : planner_(planner), policy_(policy), random_(seed),
          problem_(random_problem(random_, scenario.classes, scenario.domains, 1.0)),
          first_prices_(problem_.prices) {
        problem_.demands = scenario.demands;
        for (const service_plan& service : planner_.plan(problem_).services) {
            for (const auto& [offer, count] : service.hosts) {
                for (std::size_t i = 0; i < count; ++i) {
                    add_host({service.service, offer}, fleet_host_state::serving, {});
                }
            }
        }
    }

    fleet_run_result run() {
        for (millis at{0}; at < run_length; at += step_length) {
            now_ = time_point(at);
            end_waits();
            if (at % price_period == millis{0}) {
                move_prices();
            }
            if (at == reclaim_at) {
                reclaim_largest();
            }
            if (at % plan_period == millis{0}) {
                plan();
            }
            take_steps();
            account();
        }
        result_.cost_per_hour *= hour_ms / static_cast<double>(run_length.count());
        result_.above_capacity /= work_;
        result_.above_target /= work_;
        return result_;
    }

private:
    void add_host(const fleet_start& start, fleet_host_state state, time_point until) {
        fleet_host host{absl::StrCat("h", next_host_++), start.service, start.offer, state};
        hosts_.push_back({std::move(host), until});
    }

    void end_waits() {
        for (simulated_host& each : hosts_) {
            if (now_ < each.until) {
                continue;
            }
            if (each.host.state == fleet_host_state::starting) {
                each.host.state = fleet_host_state::serving;
            } else if (each.host.state == fleet_host_state::draining) {
                each.host.state = fleet_host_state::drained;
            }
        }
    }

    void move_prices() {
        for (auto& [offer, price] : problem_.prices) {
            const double factor = 1.0 + price_step * (2.0 * random_.uniform() - 1.0);
            const auto first = static_cast<double>(first_prices_.at(offer).value());
            const double moved = std::clamp(static_cast<double>(price.value()) * factor,
                                            first * least_price_factor, first * most_price_factor);
            price = micro_price(static_cast<std::uint64_t>(moved));
        }
    }

    void reclaim_largest() {
        std::map<failure_domain_id, double> rates;
        for (const simulated_host& each : hosts_) {
            const host_offer& offer = each.host.offer;
            rates[offer.failure_domain] +=
                offer.reclaimable ? problem_.work_rates.at(offer.host_class) : 0.0;
        }
        const auto largest =
            std::max_element(rates.begin(), rates.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        closed_domain_ = largest->first;
        closed_until_ = now_ + refusal_time;
        for (simulated_host& each : hosts_) {
            if (each.host.offer.reclaimable && each.host.offer.failure_domain == closed_domain_) {
                drain(each, reclaim_notice_time);
            }
        }
    }

    void drain(simulated_host& each, millis time) {
        each.host.state = fleet_host_state::draining;
        each.until = now_ + time;
    }

    void plan() {
        problem_.running = running_hosts(fleet());
        problem_.refused = refused_.at(now_);
        plan_ = planner_.plan(problem_);
    }

    [[nodiscard]] std::vector<fleet_host> fleet() const {
        std::vector<fleet_host> hosts;
        hosts.reserve(hosts_.size());
        for (const simulated_host& each : hosts_) {
            hosts.push_back(each.host);
        }
        return hosts;
    }

    void take_steps() {
        fleet_problem problem = problem_;
        if (policy_ == step_policy::at_once) {
            problem.weight_loads_at_once = SIZE_MAX;
            for (service_demand& demand : problem.demands) {
                demand.work_rate = 0.0;
            }
        }
        const fleet_steps steps = next_fleet_steps(problem, plan_, fleet());
        for (const fleet_start& start : steps.starts) {
            try_start(start);
        }
        for (simulated_host& each : hosts_) {
            const auto drained =
                std::find(steps.drains.begin(), steps.drains.end(), each.host.start_id);
            if (drained != steps.drains.end()) {
                drain(each, drain_time);
            }
        }
        result_.stops += std::erase_if(hosts_, [](const simulated_host& each) {
            return each.host.state == fleet_host_state::drained;
        });
    }

    void try_start(const fleet_start& start) {
        const bool closed = start.offer.reclaimable && now_ < closed_until_ &&
                            start.offer.failure_domain == closed_domain_;
        if (closed) {
            ++result_.refused_starts;
            refused_.on_refused(start.offer, now_);
            // The next plan is made at once, without the refused offer.
            plan();
            return;
        }
        refused_.on_started(start.offer);
        ++result_.starts;
        add_host(start, fleet_host_state::starting, now_ + problem_.start_time);
    }

    void account() {
        const auto seconds = static_cast<double>(step_length.count()) / 1'000.0;
        for (const simulated_host& each : hosts_) {
            const auto price = static_cast<double>(problem_.prices.at(each.host.offer).value());
            result_.cost_per_hour +=
                price * micro * static_cast<double>(step_length.count()) / hour_ms;
        }
        const std::vector<fleet_host> hosts = fleet();
        for (const service_demand& demand : problem_.demands) {
            const double capacity =
                capacity_of(hosts_in_state(hosts, demand.service, fleet_host_state::serving),
                            problem_.work_rates);
            // Sums of rates in another order differ by less.
            const double at_target = capacity * demand.max_utilisation * (1.0 + 1e-9);
            work_ += demand.work_rate * seconds;
            result_.above_capacity += std::max(0.0, demand.work_rate - capacity) * seconds;
            result_.above_target += std::max(0.0, demand.work_rate - at_target) * seconds;
        }
    }

    const fleet_planner& planner_;
    step_policy policy_;
    seeded_random random_;
    fleet_problem problem_;
    host_prices first_prices_;
    refused_starts refused_{refused_starts::back_off{}};
    fleet_plan plan_;
    std::vector<simulated_host> hosts_;
    std::size_t next_host_ = 0;
    time_point now_{};
    failure_domain_id closed_domain_;
    time_point closed_until_{};
    double work_ = 0.0;
    fleet_run_result result_;
};

} // namespace

fleet_scenario frio_solidario_fleet() {
    return {"Frio Solidario", 2, 4, {make_demand("diagnosis", 20.0), make_demand("dispatch", 4.0)}};
}

fleet_scenario dunajsky_pristav_fleet() {
    return {
        "Dunajsky Pristav", 2, 4, {make_demand("assistant", 12.0), make_demand("billing", 4.0)}};
}

fleet_scenario planned_fleet() {
    fleet_scenario scenario{"planned size", 4, 8, {}};
    constexpr std::size_t services = 10;
    for (std::size_t i = 0; i < services; ++i) {
        scenario.demands.push_back(make_demand(absl::StrCat("s", i), 60.0));
    }
    return scenario;
}

fleet_run_result simulate_fleet(const fleet_scenario& scenario, const fleet_planner& planner,
                                std::uint64_t seed, step_policy policy) {
    return fleet_simulation(scenario, planner, seed, policy).run();
}

} // namespace jujubetide
