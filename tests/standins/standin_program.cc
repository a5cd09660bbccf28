#include "standins/standin_program.h"

#include "jujubetide/edge/shutdown_signal.h"

#include <cstdlib>
#include <iostream>

namespace jujubetide {

endpoint parse_listen_or_exit(const std::string& text) {
    const auto address = parse_endpoint(text);
    if (!address.ok()) {
        std::cerr << address.status().message() << '\n';
        std::exit(EXIT_FAILURE);
    }
    return *address;
}

int serve_until_stopped(const endpoint& address) {
    std::cout << "listening " << address.str() << std::endl;
    wait_for_shutdown_signal();
    return EXIT_SUCCESS;
}

} // namespace jujubetide
