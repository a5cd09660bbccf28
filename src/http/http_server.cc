#include "jujubetide/http/http_server.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <sys/socket.h>
#include <thread>

namespace jujubetide {
namespace {

/// Connections that may wait to be accepted.
constexpr int listen_backlog = 1'024;

} // namespace

struct http_server::implementation {
    httplib::Server server;
    endpoint address;
    std::thread thread;
};

absl::StatusOr<std::unique_ptr<http_server>>
http_server::make(const http_server_options& options,
                  const std::function<void(httplib::Server&)>& add_routes) {
    auto parts = std::make_unique<implementation>();
    httplib::Server& server = parts->server;
    server.new_task_queue = [threads = options.threads] {
        return new httplib::ThreadPool(threads); // NOLINT(cppcoreguidelines-owning-memory)
    };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(options.max_body_bytes);
    server.set_read_timeout(options.read_timeout);
    server.set_keep_alive_timeout(
        std::chrono::ceil<std::chrono::seconds>(options.keep_alive).count());
    server.set_keep_alive_max_count(1'000'000);
    add_routes(server);
    int listening = -1;
    server.set_socket_options([&listening](int socket) {
        listening = socket;
        httplib::default_socket_options(socket);
    });

    parts->address = options.listen;
    if (options.listen.port == 0) {
        const int port = server.bind_to_any_port(options.listen.address);
        if (port <= 0) {
            return absl::UnavailableError(
                absl::StrCat("cannot listen on ", options.listen.address));
        }
        parts->address.port = static_cast<std::uint16_t>(port);
    } else if (!server.bind_to_port(options.listen.address, options.listen.port)) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", options.listen.str()));
    }
    // The library lets five connections wait, too few for a burst of callers.
    ::listen(listening, listen_backlog);
    parts->thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running()) {
        std::this_thread::yield();
    }
    return std::unique_ptr<http_server>(new http_server(std::move(parts)));
}

http_server::http_server(std::unique_ptr<implementation> parts) : parts_(std::move(parts)) {}

http_server::~http_server() {
    stop();
}

const endpoint& http_server::address() const {
    return parts_->address;
}

void http_server::stop() {
    parts_->server.stop();
    if (parts_->thread.joinable()) {
        parts_->thread.join();
    }
}

} // namespace jujubetide
