#pragma once

#include "jujubetide/base/endpoint.h"

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace jujubetide::testing {

/// The other end of a connection at the level of sockets, on a thread of its own: listens, accepts
/// one connection and runs `act` on it.
class blocking_peer {
public:
    explicit blocking_peer(std::function<void(int socket)> act);
    ~blocking_peer();
    blocking_peer(const blocking_peer&) = delete;
    blocking_peer& operator=(const blocking_peer&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }

private:
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

/// Sends all of `bytes`.
void send_all(int socket, const std::string& bytes);
/// Reads until `end` was seen or the connection ended; returns what came.
std::string read_until(int socket, const std::string& end);
/// Closes the socket so that the other end sees a reset.
void reset(int socket);
/// A blocking connection to an address.
int connect_to(const endpoint& to);

} // namespace jujubetide::testing
