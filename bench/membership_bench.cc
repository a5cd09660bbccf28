// Runs the membership of a whole cluster in one process on a fake clock and transport, and prints
// spread times, bytes, processor time and state for each node, beside two naive ways.
#include "../tests/support/simulated_cluster.h"

#include "jujubetide/membership/overlay.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <numeric>

using namespace jujubetide;

namespace {

struct trial_options {
    std::vector<std::size_t> sizes;
    std::size_t engines = 600;
    double loss = 0.2;
    int seconds = 60;
    std::uint64_t seed = 1;
};

constexpr std::array kinds{peer_message_kind::heartbeat, peer_message_kind::facts,
                           peer_message_kind::loads, peer_message_kind::digest,
                           peer_message_kind::settings_fetch};

struct trial_result {
    micros settings{};
    micros leaving{};
    std::map<peer_message_kind, double> mean_out;
    double mean_total = 0.0;
    double busiest_total = 0.0;
    double messages = 0.0;
    double cpu_percent = 0.0;
    double heap_kb = 0.0;
    double load_age = 0.0;
    std::size_t suspected = 0;
};

cluster_shape shape_of(const trial_options& options, std::size_t nodes) {
    cluster_shape shape;
    shape.nodes = nodes;
    shape.regions = nodes > 10 ? 2 : 1;
    shape.loss = options.loss;
    shape.seed = options.seed;
    return shape;
}

snapshot_ptr snapshot_at(const simulated_cluster& cluster, std::uint64_t number) {
    constexpr int document_count = 700;
    settings_documents documents;
    for (int i = 0; i < document_count; ++i) {
        documents["/teams/frio/backends/engine-" + std::to_string(i)] = std::string(200, 'x');
    }
    documents["/teams/frio/services/diagnosis"] = std::to_string(number);
    findings found;
    return cluster.builder.build(documents, revision(number), found);
}

double load_age_seconds(const simulated_cluster& cluster) {
    double total = 0.0;
    std::size_t count = 0;
    const auto now = static_cast<double>(cluster.time.wall_now().time_since_epoch().count());
    for (const auto& entry : cluster.processes) {
        for (const backend_server_settings& server : cluster.builder.servers) {
            const backend_state state = entry->board.backends.state(server.id);
            if (state.has_load) {
                total += now - static_cast<double>(state.load.sequence.value()) * 10.0;
                ++count;
            }
        }
    }
    return count == 0 ? -1.0 : total / static_cast<double>(count) / 1000.0;
}

void measure_window(simulated_cluster& cluster, int seconds, trial_result& result) {
    cluster.reset_counters();
    const std::clock_t begin = std::clock();
    cluster.run_for(micros(seconds * 1'000'000LL));
    const double processor = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    const double node_seconds = static_cast<double>(cluster.processes.size()) * seconds;
    result.cpu_percent = processor / node_seconds * 100.0;
    double total = 0.0;
    for (const auto& entry : cluster.processes) {
        const auto sum = [](const auto& bytes) {
            return static_cast<double>(std::accumulate(bytes.begin(), bytes.end(), 0ULL));
        };
        const double both = sum(entry->bytes_in) + sum(entry->bytes_out);
        total += both;
        result.busiest_total = std::max(result.busiest_total, both / seconds);
        result.messages += static_cast<double>(entry->messages_out) / node_seconds;
        for (const peer_message_kind kind : kinds) {
            result.mean_out[kind] +=
                static_cast<double>(entry->bytes_out[static_cast<std::size_t>(kind)]) /
                node_seconds;
        }
    }
    result.mean_total = total / node_seconds;
    result.load_age = load_age_seconds(cluster);
}

trial_result run_trial(const trial_options& options, std::size_t nodes) {
    trial_result result;
    const double heap_before = static_cast<double>(mallinfo2().uordblks);
    simulated_cluster cluster(shape_of(options, nodes));
    cluster.declare_engines(options.engines);
    cluster.declare_customers(10, {service_id("diagnosis"), service_id("dispatch")});
    cluster.start_all();
    constexpr micros limit{120'000'000};
    constexpr micros step{500'000};
    cluster.run_until([&] { return cluster.converged(); }, limit, step);
    const auto in_force = [&cluster](std::uint64_t number) {
        return cluster.all_running([number](const simulated_cluster::process& entry) {
            const snapshot_ptr snapshot = entry.board.settings.current();
            return snapshot && snapshot->at() == revision(number);
        });
    };
    cluster.processes[0]->node.settings(snapshot_at(cluster, 1));
    cluster.run_until([&] { return in_force(1); }, limit);
    cluster.report_loads([&cluster] { return cluster.random_load(); });
    cluster.report_demand();
    cluster.run_for(micros(20'000'000));
    cluster.processes[1]->node.settings(snapshot_at(cluster, 2));
    result.settings = cluster.run_until([&] { return in_force(2); }, limit);
    const host_id host("leaving");
    cluster.processes[2]->node.leaving_host(host);
    result.leaving = cluster.run_until(
        [&] {
            return cluster.all_running([&host](const simulated_cluster::process& entry) {
                return entry.board.backends.is_leaving(host);
            });
        },
        limit);
    measure_window(cluster, options.seconds, result);
    for (const member& known : cluster.processes[0]->board.members.all()) {
        result.suspected += known.health == member_health::alive ? 0 : 1;
    }
    result.heap_kb = (static_cast<double>(mallinfo2().uordblks) - heap_before) / 1024.0 /
                     static_cast<double>(nodes);
    return result;
}

/// In and out for each node of a full mesh of heartbeats each second.
double full_mesh_bytes(std::size_t nodes) {
    constexpr double heartbeat_bytes = 100.0 + simulated_cluster::message_overhead_bytes;
    return 2.0 * heartbeat_bytes * static_cast<double>(nodes - 1);
}

/// Mean bytes in and out for each node when every engine's load of 16 bytes floods over the overlay
/// once a second, packed into one message for each watcher, on a transport with loss.
double flooded_load_bytes(const trial_options& options, std::size_t nodes) {
    simulated_cluster cluster(shape_of(options, nodes));
    cluster.start_all();
    std::vector<member> members;
    for (const auto& entry : cluster.processes) {
        members.push_back(entry->record);
    }
    std::map<node_id, std::size_t> place;
    for (std::size_t i = 0; i < members.size(); ++i) {
        place[members[i].node] = i;
    }
    std::vector<std::vector<std::size_t>> links(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        for (const member& other : choose_neighbours(members[i], members)) {
            links[i].push_back(place[other.node]);
        }
    }
    seeded_random random(options.seed);
    constexpr double load_bytes = 16.0;
    const std::size_t watchers = std::min(nodes, options.engines);
    const double message =
        load_bytes * static_cast<double>(options.engines) / static_cast<double>(watchers) +
        simulated_cluster::message_overhead_bytes;
    double total = 0.0;
    for (std::size_t watcher = 0; watcher < watchers; ++watcher) {
        std::vector<bool> seen(nodes);
        std::vector<std::size_t> open{watcher};
        seen[watcher] = true;
        while (!open.empty()) {
            const std::size_t at = open.back();
            open.pop_back();
            for (const std::size_t next : links[at]) {
                const bool lost = random.uniform() < options.loss;
                total += message * (lost ? 1.0 : 2.0);
                if (!lost && !seen[next]) {
                    seen[next] = true;
                    open.push_back(next);
                }
            }
        }
    }
    return total / static_cast<double>(nodes);
}

void print_header() {
    std::printf("%5s %9s %9s %9s | %8s %8s %8s %8s %8s | %8s %8s %7s | %7s %8s %8s | %9s %9s\n",
                "nodes", "settings", "leaving", "load age", "hbeat", "facts", "loads", "digest",
                "fetch", "in+out", "busiest", "msgs", "cpu", "heap", "not", "full mesh", "flooded");
    std::printf("%5s %9s %9s %9s | %8s %8s %8s %8s %8s | %8s %8s %7s | %7s %8s %8s | %9s %9s\n", "",
                "s", "s", "s", "B/s out", "B/s out", "B/s out", "B/s out", "B/s out", "B/s", "B/s",
                "/s out", "% core", "KB", "alive", "B/s", "B/s");
}

void print_row(const trial_options& options, std::size_t nodes, const trial_result& result) {
    const auto seconds = [](micros time) { return static_cast<double>(time.count()) / 1e6; };
    std::printf("%5zu %9.1f %9.1f %9.2f |", nodes, seconds(result.settings),
                seconds(result.leaving), result.load_age);
    for (const peer_message_kind kind : kinds) {
        std::printf(" %8.0f", result.mean_out.at(kind));
    }
    std::printf(" | %8.0f %8.0f %7.1f | %7.3f %8.0f %8zu | %9.0f %9.0f\n", result.mean_total,
                result.busiest_total, result.messages, result.cpu_percent, result.heap_kb,
                result.suspected, full_mesh_bytes(nodes), flooded_load_bytes(options, nodes));
    std::fflush(stdout);
}

trial_options parse(int argc, char** argv) {
    TCLAP::CmdLine line("Membership of a whole cluster on a fake clock and transport");
    TCLAP::MultiArg<std::size_t> nodes("n", "nodes", "Cluster size; may be repeated", false,
                                       "count", line);
    TCLAP::ValueArg<std::size_t> engines("e", "engines", "Engines", false, 600, "count", line);
    TCLAP::ValueArg<double> loss("l", "loss", "Share of lost messages", false, 0.2, "share", line);
    TCLAP::ValueArg<int> seconds("t", "seconds", "Measured window", false, 60, "seconds", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed", false, 1, "number", line);
    line.parse(argc, argv);
    trial_options options;
    options.sizes = nodes.getValue();
    if (options.sizes.empty()) {
        options.sizes = {7, 50, 100, 200, 390};
    }
    options.engines = engines.getValue();
    options.loss = loss.getValue();
    options.seconds = seconds.getValue();
    options.seed = seed.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv) {
    const trial_options options = parse(argc, argv);
    std::printf("engines %zu, loss %.2f, window %d s, seed %llu\n", options.engines, options.loss,
                options.seconds, static_cast<unsigned long long>(options.seed));
    print_header();
    for (const std::size_t nodes : options.sizes) {
        print_row(options, nodes, run_trial(options, nodes));
    }
    return 0;
}
