#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

struct http_server_options {
    /// Port 0 takes a free port.
    endpoint listen{"127.0.0.1", 0};
    /// Threads that answer; each open connection and each stream holds one.
    std::size_t threads = 64;
    std::size_t max_body_bytes = 1U << 20U;
    /// How long a client may take to send its request.
    millis read_timeout{5'000};
    /// How long an idle connection stays open.
    millis keep_alive{5'000};
    /// Told of each answer once it is written; the time counts from the whole request head on.
    std::function<void(const std::string& method, int status, micros latency)> on_answer;
};

/// Keeps `memory`, which accounts for an answer's body, until the request that this thread answers
/// has been answered.
void keep_until_answered(std::shared_ptr<const void> memory);

/// An HTTP server on its own threads. What it refuses itself, such as a malformed request (400), a
/// slow one (408), an unknown path (404) or a body that is too large (413), is answered by a
/// problem. A body that states more than twice the limit or nothing (411), or that is compressed
/// (415), or that the process has no memory for (503), is refused before it is read, and the
/// connection closed.
class http_server {
public:
    /// Binds the address and lets `add_routes` register the handlers, then begins to answer.
    static absl::StatusOr<std::unique_ptr<http_server>>
    make(const http_server_options& options,
         const std::function<void(httplib::Server&)>& add_routes);

    /// Stops and waits for running handlers.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The address, with the real port.
    [[nodiscard]] const endpoint& address() const;
    /// Closes the listening socket and waits for running handlers.
    void stop();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> parts_;
};

} // namespace jujubetide
