#include "fleet_cases.h"
#include "support/fixed_seed_check.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/fleet/fleet_steps.h"
#include "jujubetide/fleet/least_cost_planner.h"
#include "jujubetide/fleet/refused_starts.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace jujubetide {
namespace {

constexpr std::uint64_t seed = 20261205;

fleet_host host_of(const std::string& id, const host_offer& offer, fleet_host_state state) {
    return {id, service_id("s0"), offer, state};
}

/// A fleet whose hosts change state at random, and whose prices and demand move.
class moving_fleet {
public:
    explicit moving_fleet(std::uint64_t random_seed)
        : random_(random_seed), problem_(random_problem(random_, 2, 3, 6.0)) {
        problem_.weight_loads_at_once = 2;
    }

    fleet_problem& problem() { return problem_; }
    const std::vector<fleet_host>& hosts() const { return hosts_; }

    /// Takes the steps towards a new plan, or, naively, stops at once what the plan does not have.
    void step(bool naive) {
        for (auto& [offer, price] : problem_.prices) {
            const double factor = 0.8 + 0.4 * random_.uniform();
            price = micro_price(
                static_cast<std::uint64_t>(static_cast<double>(price.value()) * factor));
        }
        problem_.running = running_hosts(hosts_);
        const fleet_plan plan = least_cost_planner().plan(problem_);
        fleet_problem rules = problem_;
        if (naive) {
            rules.demands.front().work_rate = 0.0;
        }
        take(next_fleet_steps(rules, plan, hosts_));
    }

    [[nodiscard]] std::size_t count(fleet_host_state state) const {
        return static_cast<std::size_t>(
            std::count_if(hosts_.begin(), hosts_.end(),
                          [state](const fleet_host& host) { return host.state == state; }));
    }

    [[nodiscard]] double covered() const {
        return capacity_after_worst_loss(
            hosts_in_state(hosts_, service_id("s0"), fleet_host_state::serving),
            problem_.work_rates);
    }

    bool stopped_undrained = false;

private:
    void take(const fleet_steps& steps) {
        for (fleet_host& host : hosts_) {
            const bool stop = std::find(steps.stops.begin(), steps.stops.end(), host.start_id) !=
                              steps.stops.end();
            stopped_undrained |= stop && host.state != fleet_host_state::drained;
            if (std::find(steps.drains.begin(), steps.drains.end(), host.start_id) !=
                steps.drains.end()) {
                host.state = fleet_host_state::draining;
            } else if (random_.below(3) == 0 && host.state == fleet_host_state::starting) {
                host.state = fleet_host_state::serving;
            } else if (random_.below(3) == 0 && host.state == fleet_host_state::draining) {
                host.state = fleet_host_state::drained;
            }
        }
        std::erase_if(hosts_, [&steps](const fleet_host& host) {
            return std::find(steps.stops.begin(), steps.stops.end(), host.start_id) !=
                   steps.stops.end();
        });
        for (const fleet_start& start : steps.starts) {
            hosts_.push_back({"h" + std::to_string(next_++), start.service, start.offer,
                              fleet_host_state::starting});
        }
    }

    seeded_random random_;
    fleet_problem problem_;
    std::vector<fleet_host> hosts_;
    int next_ = 0;
};

/// Runs a moving fleet; the capacity after the worst loss never falls below the required one once
/// it was reached.
void check_steps(bool naive) {
    moving_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    const double required = fleet.problem().demands.front().required_rate() * (1.0 - 1e-9);
    bool reached = false;
    for (int i = 0; i < 60; ++i) {
        fleet.step(naive);
        RC_ASSERT(fleet.count(fleet_host_state::starting) <= 2U);
        RC_ASSERT(!fleet.stopped_undrained);
        RC_ASSERT(!reached || fleet.covered() >= required);
        reached = reached || fleet.covered() >= required;
    }
    RC_ASSERT(reached);
}

/// Starts over 200 plans for a fleet that runs as first planned, while each price stays within 6 %
/// of its first value; `start_time` is what the planner counts for a start.
std::size_t starts_with_moving_prices(millis start_time) {
    constexpr double most_change = 0.06;
    seeded_random random(seed);
    fleet_problem problem = random_problem(random, 2, 4, 12.0);
    problem.start_time = start_time;
    problem.payback = millis(1'800'000);
    const host_prices first = problem.prices;
    const fleet_plan plan = least_cost_planner().plan(problem);
    std::vector<fleet_host> hosts;
    for (const auto& [offer, count] : plan.services.front().hosts) {
        for (std::size_t i = 0; i < count; ++i) {
            hosts.push_back(
                host_of("h" + std::to_string(hosts.size()), offer, fleet_host_state::serving));
        }
    }
    problem.running = running_hosts(hosts);
    std::size_t starts = 0;
    for (int i = 0; i < 200; ++i) {
        for (auto& [offer, price] : problem.prices) {
            const double factor = 1.0 + most_change * (2.0 * random.uniform() - 1.0);
            price = micro_price(
                static_cast<std::uint64_t>(static_cast<double>(first.at(offer).value()) * factor));
        }
        const fleet_plan next = least_cost_planner().plan(problem);
        starts += next_fleet_steps(problem, next, hosts).starts.size();
    }
    return starts;
}

} // namespace

TEST_CASE("steps keep the capacity after any loss while prices move, within the weight loads") {
    CHECK(fixed_seed_check("steps keep capacity", seed, 100, [] { check_steps(false); }));
}

TEST_CASE("draining at once what the plan does not have loses capacity") {
    CHECK_FALSE(fixed_seed_check(
        "naive steps keep capacity", seed, 100, [] { check_steps(true); }, true));
}

TEST_CASE("prices that move by less than a start costs change nothing") {
    CHECK(starts_with_moving_prices(millis(240'000)) == 0);
    // Naive: as if a start cost nothing.
    CHECK(starts_with_moving_prices(millis(0)) > 0);
}

TEST_CASE("a replaced host is drained when its replacement serves, and stopped when drained") {
    const host_offer old_offer = numbered_offer(0, 0, false);
    const host_offer new_offer = numbered_offer(0, 1, false);
    fleet_problem problem;
    problem.work_rates[old_offer.host_class] = 100.0;
    problem.prices = {{old_offer, micro_price(2'000)}, {new_offer, micro_price(1'000)}};
    problem.demands = {{service_id("s0"), 80.0, 0.8}};
    fleet_plan plan;
    plan.services = {{service_id("s0"), {{new_offer, 1}}}};

    std::vector<fleet_host> hosts{host_of("old", old_offer, fleet_host_state::serving)};
    fleet_steps steps = next_fleet_steps(problem, plan, hosts);
    REQUIRE(steps.starts == std::vector<fleet_start>{{service_id("s0"), new_offer}});
    CHECK(steps.drains.empty());

    hosts.push_back(host_of("new", new_offer, fleet_host_state::starting));
    steps = next_fleet_steps(problem, plan, hosts);
    CHECK(steps.starts.empty());
    CHECK(steps.drains.empty());

    hosts.back().state = fleet_host_state::serving;
    steps = next_fleet_steps(problem, plan, hosts);
    CHECK(steps.drains == std::vector<std::string>{"old"});
    CHECK(steps.stops.empty());

    hosts.front().state = fleet_host_state::draining;
    CHECK(next_fleet_steps(problem, plan, hosts).stops.empty());
    hosts.front().state = fleet_host_state::drained;
    CHECK(next_fleet_steps(problem, plan, hosts).stops == std::vector<std::string>{"old"});
}

TEST_CASE("the service that lacks most gets the next weight load") {
    const host_offer offer = numbered_offer(0, 0, false);
    fleet_problem problem;
    problem.work_rates[offer.host_class] = 100.0;
    problem.prices = {{offer, micro_price(1'000)}};
    problem.demands = {{service_id("s0"), 160.0, 0.8}, {service_id("s1"), 160.0, 0.8}};
    problem.weight_loads_at_once = 1;
    const std::vector<fleet_host> hosts{host_of("h0", offer, fleet_host_state::serving)};
    problem.running = running_hosts(hosts);
    const fleet_steps steps = next_fleet_steps(problem, least_cost_planner().plan(problem), hosts);
    CHECK(steps.starts == std::vector<fleet_start>{{service_id("s1"), offer}});
}

TEST_CASE("a refused offer is tried again after a time that doubles") {
    const host_offer offer = numbered_offer(0, 0, true);
    refused_starts refused({millis(1'000), millis(3'000)});
    const time_point begin{micros(5'000'000)};
    refused.on_refused(offer, begin);
    CHECK(refused.at(begin + millis(999)).contains(offer));
    CHECK(refused.at(begin + millis(1'000)).empty());
    refused.on_refused(offer, begin);
    CHECK(refused.at(begin + millis(1'999)).contains(offer));
    refused.on_refused(offer, begin);
    CHECK(refused.at(begin + millis(2'999)).contains(offer));
    CHECK(refused.at(begin + millis(3'000)).empty());
    refused.on_started(offer);
    refused.on_refused(offer, begin);
    CHECK(refused.at(begin + millis(1'000)).empty());
}

} // namespace jujubetide
