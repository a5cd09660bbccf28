#include "moves/simulation/move_simulation.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <string>

// Simulates moves of good and bad versions and prints how they end, beside a naive ramp on the same
// seeds. Processor time only; the simulated time is that of a fake clock.

namespace jujubetide {
namespace {

struct family_summary {
    int runs = 0;
    int done = 0;
    int done_by_due = 0;
    int taken_back = 0;
    double exposure_sum = 0.0;
    double exposure_max = 0.0;
    std::uint64_t worst_seed = 0;
    int over_limit = 0;
    std::uint64_t sent_after_own_stop = 0;
    millis last_send_after_stop{0};
    std::uint64_t contradictions = 0;

    void add(const move_result& result, double exposure_limit, std::uint64_t seed) {
        ++runs;
        done += result.end == move_state::done ? 1 : 0;
        done_by_due += result.done_by_due ? 1 : 0;
        taken_back += result.end == move_state::taken_back ? 1 : 0;
        exposure_sum += result.exposure;
        worst_seed = result.exposure > exposure_max ? seed : worst_seed;
        exposure_max = std::max(exposure_max, result.exposure);
        over_limit += result.exposure > exposure_limit ? 1 : 0;
        sent_after_own_stop += result.sent_after_own_stop;
        last_send_after_stop = std::max(last_send_after_stop, result.last_send_after_stop);
        contradictions += result.contradictions;
    }
};

void print(version_family family, ramp_policy policy, const family_summary& sum) {
    const std::string name(name_of(family));
    std::printf("%-21s %-8s %5d %9.2f %9.2f %9.2f %9.3f %9.3f %6d %8llu %9.1f %6llu %6llu\n",
                name.c_str(), policy == ramp_policy::evidence ? "evidence" : "naive", sum.runs,
                100.0 * sum.done / sum.runs, 100.0 * sum.done_by_due / sum.runs,
                100.0 * sum.taken_back / sum.runs, 100.0 * sum.exposure_sum / sum.runs,
                100.0 * sum.exposure_max, sum.over_limit,
                static_cast<unsigned long long>(sum.sent_after_own_stop),
                static_cast<double>(sum.last_send_after_stop.count()) / 1'000.0,
                static_cast<unsigned long long>(sum.contradictions),
                static_cast<unsigned long long>(sum.worst_seed));
    std::fflush(stdout);
}

void run_family(version_family family, ramp_policy policy, int runs, std::uint64_t seed) {
    const double exposure_limit = !is_bad(family) ? 1.0 : shows_at_once(family) ? 0.01 : 0.05;
    family_summary sum;
    for (int i = 0; i < runs; ++i) {
        const std::uint64_t each = seed + static_cast<std::uint64_t>(i);
        sum.add(simulate_move(family, policy, each), exposure_limit, each);
    }
    print(family, policy, sum);
}

int run(int argc, char** argv) {
    TCLAP::CmdLine command("Simulates version moves beside a naive ramp");
    TCLAP::ValueArg<int> runs("r", "runs", "runs of each family", false, 20, "number", command);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "first seed", false, 1, "number", command);
    TCLAP::ValueArg<int> family("f", "family", "number of one family; -1 for all", false, -1,
                                "number", command);
    TCLAP::SwitchArg no_naive("n", "no-naive", "leave the naive ramp out", command);
    command.parse(argc, argv);
    std::printf("%-21s %-8s %5s %9s %9s %9s %9s %9s %6s %8s %9s %6s %6s\n", "family", "ramp",
                "runs", "done %", "by due %", "back %", "mean %", "max %", "over", "own stop",
                "stop s", "contra", "worst");
    const std::clock_t begin = std::clock();
    for (const version_family each : all_families) {
        if (family.getValue() >= 0 && static_cast<int>(each) != family.getValue()) {
            continue;
        }
        run_family(each, ramp_policy::evidence, runs.getValue(), seed.getValue());
        if (!no_naive.getValue()) {
            run_family(each, ramp_policy::naive, runs.getValue(), seed.getValue());
        }
    }
    std::printf("processor time %.1f s\n",
                static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    return 0;
}

} // namespace
} // namespace jujubetide

int main(int argc, char** argv) {
    return jujubetide::run(argc, argv);
}
