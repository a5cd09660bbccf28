#include "model/scaling_model.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/demand_meter.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace jujubetide::model {
namespace {

constexpr micros step{20'000};
constexpr micros plan_period{1'000'000};
/// Calls arrive from then on; before it, the policy has time for its first orders.
constexpr micros lead_time{std::chrono::seconds(10)};
constexpr double wave_period_s = 40.0;
/// Waiting time within the latency target, and beyond which calls are rejected, in seconds.
constexpr double target_wait_s = 0.5;
constexpr double max_wait_s = 1.5;
constexpr double on_time_of_good_second = 0.9;

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

double standard_normal(seeded_random& random) {
    return std::sqrt(-2.0 * std::log(1.0 - random.uniform())) *
           std::cos(2.0 * std::numbers::pi * random.uniform());
}

unsigned total(const server_counts& counts) {
    unsigned sum = 0;
    for (const auto& [group, count] : counts) {
        sum += count;
    }
    return sum;
}

/// One run's state.
class scaling_run {
public:
    scaling_run(const scaling_scenario& scenario, scaling_policy& policy, std::uint64_t seed)
        : scenario_(scenario), policy_(policy), random_(seed), market_(scenario.limits) {
        for (const auto& [domain, unused] : scenario.limits.prices) {
            market_.order({domain, false}, scenario.initial,
                          time_point(-scenario.limits.boot_time));
        }
    }

    scaling_outcome run() {
        const auto plan_steps = plan_period / step;
        for (std::int64_t i = 0; step * i < lead_time + scenario_.length; ++i) {
            const micros time = step * i;
            reclaim(time);
            if (i % plan_steps == 0) {
                close_second();
                plan(time);
            }
            serve(time);
        }
        close_second();
        return outcome_;
    }

private:
    static const service_id& service() {
        static const service_id id("modelled");
        return id;
    }

    void reclaim(micros time) {
        for (const auto& event : scenario_.reclaims) {
            if (lead_time + event.at == time) {
                auto domain = scenario_.limits.prices.begin();
                std::advance(domain, static_cast<std::ptrdiff_t>(event.domain));
                market_.reclaim(domain->first, time_point(time + event.dry_for));
            }
        }
    }

    void plan(micros time) {
        const time_point now(time);
        scaling_view view{scenario_.limits, {}, market_.present(now), now};
        view.load.busy = demand_.busy_servers(now)[service()];
        const server_counts wanted = policy_.plan(view);
        for (const auto& [group, count] : wanted) {
            const auto known = ordered_.find(group);
            if (known == ordered_.end() || known->second != count || policy_.repeats(group)) {
                const bool accepted = market_.order(group, count, now);
                policy_.on_answer(group, accepted, now);
                ordered_[group] = count;
            }
        }
    }

    void serve(micros time) {
        outcome_.cost += market_.price_per_second() * seconds(step);
        const unsigned servers = total(market_.present(time_point(time)));
        backlog_s_ = std::max(0.0, backlog_s_ - servers * seconds(step));
        if (time < lead_time) {
            return;
        }
        const double rate = scenario_.busy_at(time - lead_time) / scenario_.work_s;
        next_arrival_s_ = std::max(next_arrival_s_, seconds(time));
        while (next_arrival_s_ < seconds(time + step)) {
            arrive(servers, time_point(time));
            next_arrival_s_ -= std::log(1.0 - random_.uniform()) / rate;
        }
    }

    void arrive(unsigned servers, time_point now) {
        const double sigma = scenario_.work_sigma;
        const double work =
            scenario_.work_s * std::exp(sigma * standard_normal(random_) - sigma * sigma / 2.0);
        demand_.add(service(), work, now);
        const double wait = servers == 0 ? max_wait_s + 1.0 : backlog_s_ / servers;
        ++outcome_.calls;
        ++second_calls_;
        if (wait <= max_wait_s) {
            backlog_s_ += work;
        }
        if (wait <= target_wait_s) {
            ++outcome_.on_time;
            ++second_on_time_;
        }
    }

    void close_second() {
        if (second_calls_ > 0) {
            const double on_time =
                static_cast<double>(second_on_time_) / static_cast<double>(second_calls_);
            outcome_.worst_second = std::min(outcome_.worst_second, on_time);
            outcome_.bad_seconds += on_time < on_time_of_good_second ? 1 : 0;
        }
        second_calls_ = 0;
        second_on_time_ = 0;
    }

    const scaling_scenario& scenario_;
    scaling_policy& policy_;
    seeded_random random_;
    server_market market_;
    demand_meter demand_;
    server_counts ordered_;
    scaling_outcome outcome_;
    /// Work of the calls that wait or run, in seconds of one server.
    double backlog_s_ = 0.0;
    double next_arrival_s_ = 0.0;
    std::uint64_t second_calls_ = 0;
    std::uint64_t second_on_time_ = 0;
};

} // namespace

double scaling_scenario::busy_at(micros time) const {
    const double wave =
        1.0 + swing * std::sin(2.0 * std::numbers::pi * seconds(time) / wave_period_s);
    const bool in_burst = time >= burst_at && time < burst_at + burst_length;
    return mean_busy * wave * (in_burst ? burst : 1.0);
}

scaling_outcome play(const scaling_scenario& scenario, scaling_policy& policy, std::uint64_t seed) {
    return scaling_run(scenario, policy, seed).run();
}

} // namespace jujubetide::model
