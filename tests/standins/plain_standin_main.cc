// A plain service as a process.
#include "standins/standin_plain_service.h"
#include "standins/standin_program.h"

#include "jujubetide/edge/shutdown_signal.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

int main(int argc, char** argv) {
    block_shutdown_signals();
    TCLAP::CmdLine command("Stand-in for a plain service");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address and port; port 0 takes a free one",
                                        false, "127.0.0.1:0", "ADDRESS:PORT", command);
    TCLAP::ValueArg<std::string> name("", "name", "Name in the answers", false, "plain", "NAME",
                                      command);
    TCLAP::SwitchArg logs("", "log-executions",
                          "Write `executed BOOKING` and `executed REQUEST` to the error output for "
                          "each call",
                          command);
    command.parse(argc, argv);

    standin_plain_options options;
    options.listen = parse_listen_or_exit(listen.getValue());
    options.name = name.getValue();
    options.log_executions = logs.getValue();
    const auto service = standin_plain_service::make(options);
    if (!service.ok()) {
        std::cerr << service.status().message() << '\n';
        return 1;
    }
    return serve_until_stopped((*service)->address());
}
