#pragma once

#include "jujubetide/base/endpoint.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string_view>

namespace jujubetide {

class event_loop;

/// Sends and receives datagrams on an event loop.
class udp_socket {
public:
    using datagram_handler = std::function<void(std::string_view bytes)>;

    /// Unavailable when the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<udp_socket>>
    make(event_loop& loop, const endpoint& address, datagram_handler handler);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Datagrams may be lost; one that the system does not accept at once is dropped.
    void send(const endpoint& destination, std::string_view bytes);

private:
    struct native_socket;

    explicit udp_socket(std::unique_ptr<native_socket> socket);

    std::unique_ptr<native_socket> socket_;
};

} // namespace jujubetide
