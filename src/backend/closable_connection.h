#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"

#include <httplib.h>

#include <atomic>

namespace jujubetide {

/// A connection to one server that another thread can close without waiting.
class closable_connection final : public httplib::ClientImpl {
public:
    closable_connection(const endpoint& server, const http_timeouts& timeouts);

    /// Ends a running call once the connection stands; has no effect before. Thread-safe.
    void close();

private:
    bool create_and_connect_socket(Socket& socket, httplib::Error& error) override;

    std::atomic<bool> connected_{false};
};

} // namespace jujubetide
