#include "model/scaling_policies.h"

#include <tclap/CmdLine.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Plays scenarios of load and reclaims with the product's scaling planner and with other policies,
// and prints cost, calls on time, the worst second, and the net value against hindsight.

namespace jujubetide::model {
namespace {

/// Value of a call on time, as a multiple of the price of the server time that it needs.
constexpr double call_value = 15.0;
constexpr std::size_t domain_count = 4;

/// Height of the crest of a wave, and utilisations of the simple policies.
constexpr double crest = 1.3;
constexpr double fixed_utilisation = 0.7;
constexpr double target_utilisation = 0.6;

scaling_limits make_limits(std::optional<double> reclaimable_price) {
    scaling_limits limits;
    limits.min = 0;
    limits.max = 100;
    limits.boot_time = millis{4'000};
    limits.reclaimable_price = reclaimable_price;
    for (std::size_t i = 0; i < domain_count; ++i) {
        limits.prices[failure_domain_id("domain-" + std::to_string(i))] = 1.0;
    }
    return limits;
}

std::vector<scaling_scenario> make_scenarios(double mean_busy) {
    constexpr double usual_price = 0.22;
    using std::chrono::seconds;
    scaling_scenario calm;
    calm.name = "calm";
    calm.mean_busy = mean_busy;
    calm.initial = static_cast<unsigned>(
        std::ceil(mean_busy * crest / fixed_utilisation / static_cast<double>(domain_count)));
    calm.limits = make_limits(usual_price);
    scaling_scenario wave = calm;
    wave.name = "wave";
    wave.swing = 0.3;
    scaling_scenario burst = wave;
    burst.name = "burst x1.7, 4 s";
    burst.burst = 1.7;
    burst.burst_at = seconds(70);
    burst.burst_length = seconds(4);
    scaling_scenario one_lost = wave;
    one_lost.name = "one domain lost";
    one_lost.reclaims = {{seconds(60), 0, seconds(14)}};
    scaling_scenario two_lost = wave;
    two_lost.name = "two domains lost";
    two_lost.reclaims = {{seconds(60), 0, seconds(14)}, {seconds(66), 1, seconds(14)}};
    scaling_scenario four_lost = wave;
    four_lost.name = "dry, four lost";
    four_lost.reclaims = {{seconds(60), 0, seconds(14)},
                          {seconds(66), 1, seconds(14)},
                          {seconds(72), 2, seconds(14)},
                          {seconds(78), 3, seconds(14)}};
    scaling_scenario dear = two_lost;
    dear.name = "two lost, dear";
    dear.limits = make_limits(0.8);
    scaling_scenario reliable_only = wave;
    reliable_only.name = "no reclaimable";
    reliable_only.limits = make_limits(std::nullopt);
    scaling_scenario long_prompts = two_lost;
    long_prompts.name = "two lost, long";
    long_prompts.work_s = 0.25;
    long_prompts.work_sigma = 1.1;
    return {calm, wave, burst, one_lost, two_lost, four_lost, dear, reliable_only, long_prompts};
}

struct named_policy {
    const char* name;
    std::function<std::unique_ptr<scaling_policy>(const scaling_scenario&)> make;
};

std::vector<named_policy> make_policies() {
    return {
        {"hindsight",
         [](const scaling_scenario& scenario) {
             return std::make_unique<hindsight_policy>(scenario);
         }},
        {"planner", [](const scaling_scenario&) { return std::make_unique<planner_policy>(); }},
        {"fixed, reliable",
         [](const scaling_scenario& scenario) {
             return std::make_unique<fixed_policy>(
                 static_cast<unsigned>(std::ceil(scenario.mean_busy * crest / fixed_utilisation)));
         }},
        {"0.6, reliable",
         [](const scaling_scenario&) {
             return std::make_unique<utilisation_policy>(target_utilisation, false);
         }},
        {"0.6, reclaimable",
         [](const scaling_scenario&) {
             return std::make_unique<utilisation_policy>(target_utilisation, true);
         }},
    };
}

void run_scenario(const scaling_scenario& scenario, std::uint64_t first_seed, int runs) {
    double best = 0.0;
    for (const named_policy& each : make_policies()) {
        scaling_outcome sum;
        double worst = 0.0;
        for (int i = 0; i < runs; ++i) {
            const auto policy = each.make(scenario);
            const scaling_outcome result =
                play(scenario, *policy, first_seed + static_cast<std::uint64_t>(i));
            sum.calls += result.calls;
            sum.on_time += result.on_time;
            sum.bad_seconds += result.bad_seconds;
            sum.cost += result.cost;
            worst += result.worst_second;
        }
        const double value =
            call_value * scenario.work_s * static_cast<double>(sum.on_time) - sum.cost;
        best = best > 0.0 ? best : value;
        std::printf("%-17s %-16s %9.1f %9.2f %8.1f %9.2f %10.3f\n", scenario.name.c_str(),
                    each.name, sum.cost / runs,
                    100.0 * static_cast<double>(sum.on_time) / static_cast<double>(sum.calls),
                    static_cast<double>(sum.bad_seconds) / runs, worst / runs, value / best);
        std::fflush(stdout);
    }
}

/// Prints the processor time of a plan by the size of the fleet.
void time_planning() {
    constexpr int plans = 50;
    constexpr double ms = 1'000.0 / CLOCKS_PER_SEC;
    std::printf("%12s %12s\n", "busy servers", "ms a plan");
    for (const double busy : {5.0, 50.0, 150.0}) {
        scaling_planner planner;
        const scaling_limits limits = make_limits(0.22);
        server_counts present;
        const std::clock_t begin = std::clock();
        for (int i = 0; i < plans; ++i) {
            present = planner.plan(limits, {busy}, present, time_point(std::chrono::seconds(i)));
        }
        std::printf("%12.0f %12.3f\n", busy,
                    static_cast<double>(std::clock() - begin) * ms / plans);
    }
}

int run(int argc, char** argv) {
    TCLAP::CmdLine command("Scaling policies through loads and reclaims");
    TCLAP::ValueArg<int> runs("r", "runs", "runs of each scenario", false, 10, "number", command);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1, "number", command);
    TCLAP::ValueArg<double> busy("b", "busy", "mean load in servers", false, 4.0, "number",
                                 command);
    command.parse(argc, argv);
    std::printf("%-17s %-16s %9s %9s %8s %9s %10s\n", "scenario", "policy", "cost", "% on time",
                "bad s", "worst s", "net value");
    for (const scaling_scenario& scenario : make_scenarios(busy.getValue())) {
        run_scenario(scenario, seed.getValue(), runs.getValue());
    }
    time_planning();
    return 0;
}

} // namespace
} // namespace jujubetide::model

int main(int argc, char** argv) {
    return jujubetide::model::run(argc, argv);
}
