#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/net/tcp_connection.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace jujubetide {

/// Listens on an address; destroying it stops listening.
class tcp_acceptor {
public:
    /// The new connection starts reading when the handler calls `set_events`.
    using accept_handler = std::function<void(std::shared_ptr<tcp_connection>)>;

    /// Unavailable when the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<tcp_acceptor>>
    make(event_loop& loop, const endpoint& address, accept_handler handler);
    ~tcp_acceptor();
    tcp_acceptor(const tcp_acceptor&) = delete;
    tcp_acceptor& operator=(const tcp_acceptor&) = delete;

    /// The address that was bound; its port is never 0.
    [[nodiscard]] const endpoint& address() const { return address_; }

private:
    struct native_listener;

    tcp_acceptor(std::unique_ptr<native_listener> listener, endpoint address);

    std::unique_ptr<native_listener> listener_;
    endpoint address_;
};

} // namespace jujubetide
