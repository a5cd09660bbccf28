// A control process: the operators' interface and, under leases, the system's controllers.
#include "control/control_events.h"
#include "control/control_server.h"
#include "control/fleet_runner.h"
#include "control/move_runner.h"
#include "control/own_facts.h"
#include "control/peer_traffic_source.h"
#include "control/table_poller.h"
#include "settings/yaml_reader.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/base/build_identity.h"
#include "jujubetide/edge/large_buffers.h"
#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/edge/shutdown_signal.h"
#include "jujubetide/edge/system_random.h"
#include "jujubetide/fleet/least_cost_planner.h"
#include "jujubetide/lease/order_service.h"
#include "jujubetide/peer/nghttp2_peer_link.h"
#include "jujubetide/peer/node_process.h"
#include "jujubetide/platform/http_cloud.h"
#include "jujubetide/platform/http_host_list.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/platform/leaving_watcher.h"
#include "jujubetide/settings/process_settings.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

namespace {

constexpr int exit_other = 1;
constexpr int exit_bad_settings = 2;
constexpr std::size_t max_change_bytes = 8U << 20U;
/// How often version moves are stepped.
constexpr micros move_period{1'000'000};
/// How often the fleet's hosts are stepped.
constexpr micros fleet_period{5'000'000};

/// What the process's parts share, in the order in which they depend on each other.
struct control_process : node_process {
    control_process(const process_settings& settings, peer_link& link)
        : node_process("jujubetide-control", settings), platform_table(settings.platform),
          traffic(boards.members, link),
          bootstrap_key_sha256(settings.bootstrap_operator_key_sha256) {}

    http_table platform_table;
    settings_store store{platform_table};
    settings_history history{platform_table};
    move_store moves{platform_table};
    fleet_store fleet{platform_table};
    own_facts facts{boards};
    peer_traffic_source traffic;
    std::string bootstrap_key_sha256;
    control_parts parts{
        time, log, boards, facts, store, history, moves, traffic, bootstrap_key_sha256};
};

http_server_options make_options(const process_settings& settings) {
    http_server_options options;
    options.listen = settings.listen;
    options.threads = settings.http_threads;
    options.max_body_bytes = max_change_bytes;
    return options;
}

/// A holder's name is new at each start, so that a restarted process waits out its own old lease.
lease_options options_of(const char* lease, const node_id& node) {
    lease_options options;
    options.lease = lease_id(lease);
    options.holder = node.str() + "/" + random_hex_id();
    return options;
}

/// The controllers that every control process runs; they act only under their leases, but for the
/// watcher of leaving hosts, whose facts make nodes more careful and so need none.
struct controllers {
    controllers(const process_settings& settings, control_process& process, peer_link& link)
        : platform_cloud(settings.platform), hosts(settings.platform),
          watcher(platform_cloud, hosts, process.facts, process.timers, process.log),
          engines(process.timers),
          orders(
              process.platform_table, engines,
              [&boards = process.boards] {
                  const snapshot_ptr current = boards.settings.current();
                  return current == nullptr ? std::vector<desired_engine_state>()
                                            : declared_engine_states(*current);
              },
              process.time, process.timers, process.log, options_of("orders", settings.node)),
          moves_lease(process.platform_table, process.time, process.log,
                      options_of("moves", settings.node)),
          moves(settings.node, {process.boards, process.moves, process.facts, link, moves_lease,
                                process.time, process.log}),
          move_task(process.timers, move_period, [this] { moves.step(); }),
          fleet_lease(process.platform_table, process.time, process.log,
                      options_of("fleet", settings.node)),
          activity(process.boards),
          fleet({process.boards, process.fleet, platform_cloud, hosts, activity, process.facts,
                 planner, fleet_lease, process.time, process.log}),
          fleet_task(process.timers, fleet_period, [this] { fleet.step(); }) {}

    http_cloud platform_cloud;
    http_host_list hosts;
    leaving_watcher watcher;
    http_engine_client engines;
    order_service orders;
    lease_keeper moves_lease;
    move_runner moves;
    periodic_task move_task;
    lease_keeper fleet_lease;
    least_cost_planner planner;
    reported_fleet_activity activity;
    fleet_runner fleet;
    periodic_task fleet_task;
};

void serve_operators(const process_settings& settings, control_process& process,
                     control_server& server) {
    const table_poller poller(process.parts, process.timers, process.random,
                              settings.settings_poll);
    process.log.write(control_listening, {{"address", server.address().str()},
                                          {"version", std::string(program_version())},
                                          {"sources", std::string(source_identity())}});
    std::cout << "listening " << server.address().str() << std::endl;

    wait_for_shutdown_signal();
    process.facts.leaving_self();
    server.stop();
    process.log.write(control_stopped, {{"node", settings.node.str()}});
}

int fail(const absl::Status& status) {
    std::cerr << status.message() << '\n';
    return exit_other;
}

int serve(process_settings settings) {
    auto link = nghttp2_peer_link::make(settings.peer_listen, settings.node);
    if (!link.ok()) {
        return fail(link.status());
    }
    settings.peer_listen = (*link)->listening();
    control_process process(settings, **link);
    const auto server = control_server::make(process.parts, make_options(settings), link->get());
    if (!server.ok()) {
        return fail(server.status());
    }
    auto node = process.make_node(settings, node_role::control, (*server)->address(), **link);
    if (!node.ok()) {
        return fail(node.status());
    }
    process.facts.spread_by((*node)->publisher());
    controllers running(settings, process, **link);
    (*link)->set_handler(peer_message_kind::move_evidence,
                         [&running](const peer_message& message) -> absl::StatusOr<std::string> {
                             const absl::Status taken = running.moves.receive(message);
                             return taken.ok() ? absl::StatusOr<std::string>(std::string()) : taken;
                         });
    (*node)->start();
    serve_operators(settings, process, **server);
    (*link)->stop();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    block_shutdown_signals();
    if (!return_large_buffers()) {
        std::cerr << "cannot set the allocator's threshold\n";
    }
    std::string file;
    std::string bootstrap_key;
    try {
        TCLAP::CmdLine command("Operators' interface and controllers", ' ', version_text());
        TCLAP::ValueArg<std::string> settings("", "settings", "The process's YAML file", true, "",
                                              "FILE", command);
        TCLAP::ValueArg<std::string> key(
            "", "bootstrap-operator-key-sha256",
            "Hash of a key that may change settings while no operator is declared; goes before "
            "the file's",
            false, "", "HEX", command);
        command.parse(argc, argv);
        file = settings.getValue();
        bootstrap_key = key.getValue();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << '\n';
        return exit_bad_settings;
    }
    absl::StatusOr<process_settings> settings = load_process_settings(file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_bad_settings;
    }
    if (!bootstrap_key.empty() && !is_key_hash(bootstrap_key)) {
        std::cerr << "--bootstrap-operator-key-sha256 is not 64 lower-case hex digits\n";
        return exit_bad_settings;
    }
    if (!bootstrap_key.empty()) {
        settings->bootstrap_operator_key_sha256 = bootstrap_key;
    }
    return serve(*settings);
}
