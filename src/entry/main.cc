// An entry node: takes callers' requests.
#include "entry/deferred_facts.h"
#include "entry/demand_exchange.h"
#include "entry/entry_events.h"
#include "entry/entry_server.h"
#include "entry/load_poller.h"
#include "entry/settings_poller.h"
#include "entry/settings_watch.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/backend/http_plain_client.h"
#include "jujubetide/base/build_identity.h"
#include "jujubetide/edge/large_buffers.h"
#include "jujubetide/edge/shutdown_signal.h"
#include "jujubetide/limits/share_admission.h"
#include "jujubetide/moves/evidence_sender.h"
#include "jujubetide/moves/trial_version_selector.h"
#include "jujubetide/peer/nghttp2_peer_link.h"
#include "jujubetide/peer/node_process.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/routing/prefix_router.h"
#include "jujubetide/settings/process_settings.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace jujubetide;

namespace {

/// Largest body that any service may take.
constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr int exit_other = 1;
constexpr int exit_bad_settings = 2;
/// Part of the drain time in which running answers may end here before they are handed over.
constexpr int drain_grace_divisor = 4;
/// Time in which all nodes have heard that one leaves and no longer list it.
constexpr millis spread_time{2'000};
/// How often the evidence of version moves is reported.
constexpr micros evidence_period{1'000'000};
/// How often a node looks whether it has become ready or its host leaves.
constexpr micros watch_period{200'000};

entry_options make_options(const process_settings& settings) {
    entry_options options;
    options.self = {settings.node, settings.failure_domain, settings.listen};
    options.http.listen = settings.listen;
    options.http.threads = settings.http_threads;
    options.http.max_body_bytes = max_body_bytes;
    options.entries_lifetime = settings.entries_lifetime;
    return options;
}

/// Waits while callers may still come with an address that `GET /v1/entries` gave them.
void linger(const process_settings& settings, const boot_clock& time, time_point leaving_since) {
    constexpr millis poll{50};
    while (time.now() - leaving_since < settings.entries_lifetime + spread_time) {
        std::this_thread::sleep_for(poll);
    }
}

/// Stops as by SIGTERM once this host is told to leave.
void stop_when_leaving(const blackboard& boards, const host_id& host) {
    if (boards.backends.is_leaving(host)) {
        ::kill(::getpid(), SIGTERM);
    }
}

/// The evidence of a process that starts again counts anew.
evidence_owner owner_of(const process_settings& settings, const boot_clock& time) {
    const auto started = time.wall_now().time_since_epoch().count();
    return {settings.node, incarnation(static_cast<std::uint64_t>(started))};
}

/// Entry nodes that send requests, this one among them.
std::size_t active_entries(const blackboard& boards) {
    std::size_t count = 0;
    for (const member& node : boards.members.all()) {
        const bool active =
            node.role == node_role::entry && !node.leaving && node.health != member_health::dead;
        count += active ? 1 : 0;
    }
    return std::max<std::size_t>(1, count);
}

/// What the node's parts share, in the order in which they depend on each other.
struct entry_process : node_process {
    entry_process(const process_settings& settings, peer_link& link)
        : node_process("jujubetide-entry", settings), platform_table(settings.platform),
          versions(owner_of(settings, time), {boards, time, facts}), peers(link) {}

    http_table platform_table;
    http_engine_client engines{timers};
    http_plain_client plain{timers};
    prefix_router routes{boards.backends, time};
    share_admission limits;
    retry_budget retries;
    deferred_facts facts;
    trial_version_selector versions;
    peer_link& peers;
    evidence_sender evidence{{versions, boards, peers}};
    entry_parts parts{time,     timers,  log,   boards,         routes, limits, retries,
                      versions, engines, plain, platform_table, facts,  peers};
};

int serve_callers(const process_settings& settings, entry_process& process, entry_server& server,
                  peer_node& node) {
    const settings_poller settings_source(process.parts, process.random, settings.settings_poll,
                                          [&server] { server.set_settings_ready(); });
    const load_poller loads(process.parts, node.membership());
    settings_watch in_force(process.boards.settings, process.log);
    demand_exchange demand(process.limits, node.membership(), process.time);
    const auto exchanges = process.timers.every(demand_exchange::period, demand_exchange::period,
                                                [&demand] { demand.exchange(); });
    const auto watch = process.timers.every(watch_period, watch_period, [&] {
        in_force.look();
        if (node.settings_ready()) {
            server.set_settings_ready();
        }
        stop_when_leaving(process.boards, settings.host);
    });
    const auto reports = process.timers.every(evidence_period, evidence_period, [&process] {
        process.evidence.send();
        process.routes.set_active_entries(active_entries(process.boards));
    });
    process.log.write(entry_listening, {{"address", server.address().str()},
                                        {"version", std::string(program_version())},
                                        {"sources", std::string(source_identity())}});
    std::cout << "listening " << server.address().str() << std::endl;

    wait_for_shutdown_signal();
    const time_point leaving_since = process.time.now();
    const bool reclaimed = process.boards.backends.is_leaving(settings.host);
    const millis grace = reclaimed ? millis{0} : settings.drain_timeout / drain_grace_divisor;
    (void)server.drain(grace, settings.drain_timeout);
    linger(settings, process.time, leaving_since);
    process.log.write(entry_stopped, {{"node", settings.node.str()}});
    return 0;
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
    entry_process process(settings, **link);
    const auto server = entry_server::make(process.parts, make_options(settings));
    if (!server.ok()) {
        return fail(server.status());
    }
    auto node = process.make_node(settings, node_role::entry, (*server)->address(), **link);
    if (!node.ok()) {
        return fail(node.status());
    }
    process.facts.set((*node)->publisher());
    (*link)->set_handler(peer_message_kind::move_evidence,
                         [&process](const peer_message& message) -> absl::StatusOr<std::string> {
                             if (const absl::Status taken = process.evidence.receive(message);
                                 !taken.ok()) {
                                 return taken;
                             }
                             return std::string();
                         });
    (*link)->set_handler(peer_message_kind::request_rate,
                         [&process](const peer_message& message) -> absl::StatusOr<std::string> {
                             return process.evidence.request_rate(message);
                         });
    (*node)->start();
    const int code = serve_callers(settings, process, **server, **node);
    (*link)->stop();
    return code;
}

} // namespace

int main(int argc, char** argv) {
    block_shutdown_signals();
    if (!return_large_buffers()) {
        std::cerr << "cannot set the allocator's threshold\n";
    }
    std::string file;
    try {
        TCLAP::CmdLine command("Takes callers' requests", ' ', version_text());
        TCLAP::ValueArg<std::string> settings("", "settings", "The process's YAML file", true, "",
                                              "FILE", command);
        command.parse(argc, argv);
        file = settings.getValue();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << '\n';
        return exit_other;
    }
    const absl::StatusOr<process_settings> settings = load_process_settings(file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_bad_settings;
    }
    return serve(*settings);
}
