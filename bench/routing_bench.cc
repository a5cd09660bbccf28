// Measures the time of one routing decision against the number of engines.
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/routing/prefix_router.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

namespace jujubetide {
namespace {

constexpr std::size_t blocks_per_prompt = 128;
/// Index entries of one prompt of that length, besides those that all prompts share.
constexpr std::size_t entries_per_prompt = 25;

class still_clock final : public clock {
protected:
    time_point do_now() const override { return time_point(std::chrono::seconds(100)); }
    wall_time do_wall_now() const override { return wall_time{}; }
};

std::vector<std::uint64_t> prompt_hashes(std::uint64_t session) {
    std::vector<std::uint64_t> hashes;
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < blocks_per_prompt; ++i) {
        chained = rendezvous_weight(chained + i, i < 4 ? 0 : session);
        hashes.push_back(chained);
    }
    return hashes;
}

struct fixture {
    still_clock time;
    backend_board board;
    prefix_router router{board, time};
    std::vector<backend_server_settings> servers;
    std::vector<const backend_server_settings*> candidates;
    seeded_random random{1};
    std::uint64_t sessions = 0;

    fixture(std::size_t engines, std::size_t prefixes) {
        servers.resize(engines);
        for (std::size_t i = 0; i < engines; ++i) {
            backend_server_settings& server = servers[i];
            server.id = backend_server_id(absl::StrCat("engine-", i));
            server.id_hash = stable_hash(server.id.str());
            server.host = host_id(absl::StrCat("host-", i));
            server.version = version_id("v1");
            server.failure_domain = failure_domain_id(absl::StrCat("domain-", i % 8));
            candidates.push_back(&server);
            load_report load;
            load.sequence = sequence_number(1);
            load.running = static_cast<std::uint32_t>(random.below(32));
            board.report_load(server.id, load, time.now());
        }
        sessions = engines * prefixes / entries_per_prompt;
        for (std::uint64_t session = 1; session <= sessions; ++session) {
            route_query query = make_query(session);
            router.on_sent(query, {candidates[session % engines]->id, micros{0}, token_count()});
            router.on_finished(query, {candidates[session % engines]->id, micros{0}, token_count()},
                               token_count(), true);
        }
    }

    route_query make_query(std::uint64_t session) {
        route_query query;
        query.request = request_id(absl::StrCat("r", session));
        query.service = service_id("diagnosis");
        query.version = version_id("v1");
        query.prefix_hashes = prompt_hashes(session);
        query.prompt_tokens = token_count(blocks_per_prompt * 64);
        // Earlier than the attempts that still count as unreported.
        query.now = time.now() - std::chrono::seconds(10);
        query.deadline = time.now() + std::chrono::seconds(30);
        return query;
    }

    std::vector<double> measure(std::size_t decisions) {
        std::vector<double> micros_taken;
        for (std::size_t i = 0; i < decisions; ++i) {
            route_query query = make_query(1 + random.below(sessions * 2));
            query.now = time.now();
            const auto begin = std::chrono::steady_clock::now();
            const auto choice = router.choose(query, candidates);
            const auto end = std::chrono::steady_clock::now();
            if (!choice.ok()) {
                continue;
            }
            micros_taken.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
        }
        std::sort(micros_taken.begin(), micros_taken.end());
        return micros_taken;
    }
};

int run_bench(int argc, char** argv) {
    TCLAP::CmdLine command("Measures the time of a routing decision.", ' ', "0.1");
    TCLAP::ValueArg<std::size_t> prefixes("", "prefixes", "Known prefixes of each engine", false,
                                          1'000, "number", command);
    TCLAP::ValueArg<std::size_t> decisions("", "decisions", "Decisions measured", false, 20'000,
                                           "number", command);
    command.parse(argc, argv);
    std::printf("%8s %10s %9s %9s %9s\n", "engines", "prefixes", "p50 us", "p99 us", "mean us");
    for (const std::size_t engines : {20, 75, 150, 300, 600}) {
        const auto run = std::make_unique<fixture>(engines, prefixes.getValue());
        const std::vector<double> taken = run->measure(decisions.getValue());
        double sum = 0.0;
        for (const double one : taken) {
            sum += one;
        }
        std::printf("%8zu %10zu %9.2f %9.2f %9.2f\n", engines, run->router.known_prefixes(),
                    taken[taken.size() / 2], taken[taken.size() * 99 / 100],
                    sum / static_cast<double>(taken.size()));
        std::fflush(stdout);
    }
    return 0;
}

} // namespace
} // namespace jujubetide

int main(int argc, char** argv) {
    return jujubetide::run_bench(argc, argv);
}
