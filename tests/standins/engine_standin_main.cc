// A model engine as a process.
#include "standins/standin_engine.h"
#include "standins/standin_program.h"

#include "jujubetide/edge/shutdown_signal.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

namespace {

standin_engine_options read_options(int argc, char** argv) {
    TCLAP::CmdLine command("Stand-in for a model engine");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address and port; port 0 takes a free one",
                                        false, "127.0.0.1:0", "ADDRESS:PORT", command);
    TCLAP::ValueArg<std::string> name("", "name", "Name in GET /v1/state", false, "engine", "NAME",
                                      command);
    TCLAP::ValueArg<std::string> version("", "model-version",
                                         "Version served; empty serves every one", false, "",
                                         "VERSION", command);
    TCLAP::ValueArg<int> first("", "first-piece-ms", "Time to the first piece", false, 2, "MS",
                               command);
    TCLAP::ValueArg<int> between("", "between-pieces-ms", "Time between pieces", false, 1, "MS",
                                 command);
    TCLAP::ValueArg<unsigned> running("", "max-running", "Attempts that run at once", false, 32,
                                      "N", command);
    TCLAP::SwitchArg ignores("", "ignores-fencing", "Take orders with old fencing numbers",
                             command);
    TCLAP::SwitchArg logs("", "log-executions",
                          "Write `executed PROMPT` to the error output for each attempt", command);
    command.parse(argc, argv);

    standin_engine_options options;
    options.listen = parse_listen_or_exit(listen.getValue());
    options.name = name.getValue();
    options.version = version_id(version.getValue());
    options.knobs.first_piece = millis{first.getValue()};
    options.knobs.between_pieces = millis{between.getValue()};
    options.max_running = running.getValue();
    options.checks_fencing = !ignores.getValue();
    options.log_executions = logs.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv) {
    block_shutdown_signals();
    const auto engine = standin_engine::make(read_options(argc, argv));
    if (!engine.ok()) {
        std::cerr << engine.status().message() << '\n';
        return 1;
    }
    return serve_until_stopped((*engine)->address());
}
