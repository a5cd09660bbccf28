// The platform's table, object store, cloud and list of hosts as a process.
#include "standins/standin_platform.h"
#include "standins/standin_program.h"

#include "jujubetide/edge/shutdown_signal.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace jujubetide;

int main(int argc, char** argv) {
    block_shutdown_signals();
    TCLAP::CmdLine command("Stand-in for the platform");
    TCLAP::ValueArg<std::string> listen("", "listen", "Address and port; port 0 takes a free one",
                                        false, "127.0.0.1:0", "ADDRESS:PORT", command);
    command.parse(argc, argv);

    standin_platform_options options;
    options.listen = parse_listen_or_exit(listen.getValue());
    const auto platform = standin_platform::make(options);
    if (!platform.ok()) {
        std::cerr << platform.status().message() << '\n';
        return 1;
    }
    return serve_until_stopped((*platform)->address());
}
