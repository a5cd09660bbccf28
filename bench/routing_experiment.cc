// Runs the policies on the same seeded workloads of both deployments and prints a table.
#include "model/serving_model.h"

#include "jujubetide/limits/deadline_admission.h"
#include "jujubetide/limits/share_admission.h"
#include "jujubetide/routing/least_loaded_router.h"
#include "jujubetide/routing/prefix_router.h"
#include "jujubetide/routing/random_router.h"
#include "jujubetide/routing/round_robin_router.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <map>
#include <string>

namespace jujubetide::model {
namespace {

/// Admits everything, as a system without limits does.
class open_admission final : public admission {
protected:
    admission_decision do_decide(const admission_query& /*query*/) override { return {}; }
    void do_on_finished(const admission_query& /*query*/, time_point /*now*/) override {}
};

template <class Router>
policy naive(backend_board& board, const clock& /*time*/, std::uint64_t /*seed*/) {
    return {std::make_unique<Router>(board), std::make_unique<open_admission>(), nullptr};
}

policy naive_random(backend_board& board, const clock& /*time*/, std::uint64_t seed) {
    return {std::make_unique<random_router>(board, seed), std::make_unique<open_admission>(),
            nullptr};
}

policy full_policy(backend_board& board, const clock& time, std::uint64_t /*seed*/) {
    auto shares = std::make_unique<share_admission>();
    share_admission* raw = shares.get();
    auto routes = std::make_unique<prefix_router>(board, time);
    routes->set_active_entries(deployment{}.entries);
    return {std::move(routes), std::move(shares), raw};
}

const std::map<std::string, policy_factory>& policies() {
    static const std::map<std::string, policy_factory> all{
        {"random", naive_random},
        {"round-robin", naive<round_robin_router>},
        {"least-loaded", naive<least_loaded_router>},
        {"prefix", full_policy}};
    return all;
}

void print_counts(const std::string& what, const outcome_counts& counts) {
    const double asked = static_cast<double>(std::max<std::uint64_t>(1, counts.asked));
    std::printf("%-22s %9llu %8.3f %8.3f %8.3f %8.4f %8.4f", what.c_str(),
                static_cast<unsigned long long>(counts.asked), counts.quantile(0.5),
                counts.quantile(0.95), counts.quantile(0.99), counts.share_on_time(),
                static_cast<double>(counts.refused) / asked);
}

void print_rows(const deployment& system, double load, const std::string& name,
                const run_result& result) {
    std::printf("%4.0f %-13s ", load * 100, name.c_str());
    print_counts(system.name, result.all);
    std::printf(" %9.0f %12llu %12llu\n", result.goodput(),
                static_cast<unsigned long long>(result.recomputed_tokens),
                static_cast<unsigned long long>(result.processed_prompt_tokens));
    for (std::size_t i = 0; i < system.services.size(); ++i) {
        std::printf("%4.0f %-13s ", load * 100, name.c_str());
        print_counts("  " + system.services[i].name, result.by_service[i]);
        std::printf("\n");
    }
    std::fflush(stdout);
}

int run_experiment(int argc, char** argv) {
    TCLAP::CmdLine command("Compares routing policies on model engines.", ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the arrivals", false, 1, "number",
                                        command);
    TCLAP::ValueArg<int> seconds("", "seconds", "Modelled seconds of each run", false, 300,
                                 "seconds", command);
    TCLAP::SwitchArg reclaim("", "reclaim", "Reclaim one failure domain in the middle", command);
    TCLAP::MultiArg<double> loads("", "load", "Part of nominal capacity; may be repeated", false,
                                  "part", command);
    command.parse(argc, argv);

    std::vector<double> parts = loads.getValue();
    if (parts.empty()) {
        parts = {0.3, 0.6, 0.8, 0.95, 1.2};
    }
    std::printf("%4s %-13s %-22s %9s %8s %8s %8s %8s %8s %9s %12s %12s\n", "load", "policy",
                "deployment / service", "asked", "p50 s", "p95 s", "p99 s", "on time", "refused",
                "tokens/s", "recomputed", "processed");
    for (const deployment& system : {frio_solidario(), dunajsky_pristav()}) {
        for (const double load : parts) {
            for (const auto& [name, make_policy] : policies()) {
                workload_options arrivals;
                arrivals.load = load;
                arrivals.seed = seed.getValue();
                arrivals.duration = std::chrono::seconds(seconds.getValue());
                run_options options;
                options.reclaim_at = reclaim.getValue() ? arrivals.duration / 2 : micros{-1};
                serving_model run(system, arrivals, options, make_policy);
                print_rows(system, load, name, run.run());
            }
        }
    }
    return 0;
}

} // namespace
} // namespace jujubetide::model

int main(int argc, char** argv) {
    return jujubetide::model::run_experiment(argc, argv);
}
