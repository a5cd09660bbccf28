// A control process: the operators' interface and, under leases, the system's controllers.
#include "control/control_events.h"
#include "control/control_server.h"
#include "control/own_facts.h"
#include "control/table_poller.h"
#include "settings/yaml_reader.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/edge/process_log.h"
#include "jujubetide/edge/shutdown_signal.h"
#include "jujubetide/edge/system_random.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/process_settings.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

namespace {

constexpr int exit_other = 1;
constexpr int exit_bad_settings = 2;
constexpr std::size_t max_change_bytes = 8U << 20U;

member self_record(const process_settings& settings, const endpoint& address) {
    member self;
    self.node = settings.node;
    self.host = settings.host;
    self.failure_domain = settings.failure_domain;
    self.region = settings.region;
    self.role = node_role::control;
    self.peer_address = settings.peer_listen;
    self.public_address = address;
    return self;
}

int serve(const process_settings& settings) {
    boot_clock time;
    process_log log("jujubetide-control");
    seeded_random random = system_seeded_random();
    blackboard boards;
    http_table platform_table(settings.platform);
    settings_store store(platform_table);
    settings_history history(platform_table);
    move_store moves(platform_table);
    own_facts facts(boards);
    const control_parts parts{time,  log,     boards, facts,
                              store, history, moves,  settings.bootstrap_operator_key_sha256};
    http_server_options options;
    options.listen = settings.listen;
    options.threads = settings.http_threads;
    options.max_body_bytes = max_change_bytes;

    const auto server = control_server::make(parts, options);
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return exit_other;
    }
    const member self = self_record(settings, (*server)->address());
    boards.members.merge(self);
    // Added before the poller, which is the first to offer settings.
    boards.settings.add_listener([&boards, self](const snapshot_ptr& snapshot) {
        member now = self;
        now.settings = snapshot->at();
        boards.members.merge(now);
    });
    const table_poller poller(parts, random, settings.settings_poll);
    log.write(control_listening, {{"address", (*server)->address().str()}});
    std::cout << "listening " << (*server)->address().str() << std::endl;

    wait_for_shutdown_signal();
    (*server)->stop();
    log.write(control_stopped, {{"node", settings.node.str()}});
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    block_shutdown_signals();
    std::string file;
    std::string bootstrap_key;
    try {
        TCLAP::CmdLine command("Operators' interface and controllers", ' ', "0.1.0");
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
