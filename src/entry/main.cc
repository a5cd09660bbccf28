// An entry node: takes callers' requests.
#include "entry/entry_events.h"
#include "entry/entry_server.h"
#include "entry/load_poller.h"
#include "entry/local_facts.h"
#include "entry/no_peers.h"
#include "entry/settings_poller.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/backend/http_plain_client.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/edge/process_log.h"
#include "jujubetide/edge/shutdown_signal.h"
#include "jujubetide/edge/system_random.h"
#include "jujubetide/edge/thread_timer_service.h"
#include "jujubetide/limits/deadline_admission.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/routing/least_loaded_router.h"
#include "jujubetide/settings/process_settings.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

namespace {

/// Largest body that any service may take.
constexpr std::size_t max_body_bytes = 64U << 20U;
constexpr int exit_other = 1;
constexpr int exit_bad_settings = 2;
/// Part of the drain time in which running answers may end here before they are handed over.
constexpr int drain_grace_divisor = 4;

member self_record(const process_settings& settings, const endpoint& address) {
    member self;
    self.node = settings.node;
    self.host = settings.host;
    self.failure_domain = settings.failure_domain;
    self.region = settings.region;
    self.role = node_role::entry;
    self.peer_address = settings.peer_listen;
    self.public_address = address;
    return self;
}

entry_options make_options(const process_settings& settings) {
    entry_options options;
    options.self = {settings.node, settings.failure_domain, settings.listen};
    options.http.listen = settings.listen;
    options.http.threads = settings.http_threads;
    options.http.max_body_bytes = max_body_bytes;
    options.entries_lifetime = settings.entries_lifetime;
    return options;
}

int serve(const process_settings& settings) {
    boot_clock time;
    thread_timer_service timers;
    process_log log("jujubetide-entry");
    seeded_random random = system_seeded_random();
    blackboard boards;
    http_table platform_table(settings.platform);
    http_engine_client engines;
    http_plain_client plain;
    least_loaded_router routes(boards.backends);
    deadline_admission limits;
    retry_budget retries;
    settled_version_selector versions;
    no_peers peers;
    local_facts facts(boards, settings.node);
    entry_parts parts{time,     timers,  log,   boards,         routes, limits, retries,
                      versions, engines, plain, platform_table, facts,  peers};

    const auto server = entry_server::make(parts, make_options(settings));
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return exit_other;
    }
    boards.members.merge(self_record(settings, (*server)->address()));
    const settings_poller settings_source(parts, random, settings.settings_poll);
    const load_poller loads(parts);
    log.write(entry_listening, {{"address", (*server)->address().str()}});
    std::cout << "listening " << (*server)->address().str() << std::endl;

    wait_for_shutdown_signal();
    (void)(*server)->drain(settings.drain_timeout / drain_grace_divisor, settings.drain_timeout);
    log.write(entry_stopped, {{"node", settings.node.str()}});
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    block_shutdown_signals();
    std::string file;
    try {
        TCLAP::CmdLine command("Takes callers' requests", ' ', "0.1.0");
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
