#pragma once

#include "jujubetide/base/endpoint.h"

#include <string>

namespace jujubetide {

/// Reads `text` as an address; prints the fault and ends the program where it is none.
endpoint parse_listen_or_exit(const std::string& text);
/// Prints `listening ADDRESS:PORT` and waits for SIGTERM or SIGINT. Returns the exit code.
int serve_until_stopped(const endpoint& address);

} // namespace jujubetide
