#include "jujubetide/net/tcp_acceptor.h"

#include "net/uv_tcp_connection.h"

#include "jujubetide/net/event_loop.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <utility>

namespace jujubetide {
namespace {

/// Connections that the system queues before they are accepted.
constexpr int max_pending_connections = 1'024;

} // namespace

struct tcp_acceptor::native_listener {
    uv_tcp_t handle{};
    event_loop* loop = nullptr;
    accept_handler handler;
};

namespace {

template <class Listener>
void on_incoming_connection(uv_stream_t* stream, int status) {
    if (status != 0) {
        return;
    }
    auto* listener = static_cast<Listener*>(stream->data);
    auto connection = std::make_shared<uv_tcp_connection>(*listener->loop);
    if (connection->accept(stream)) {
        listener->handler(std::move(connection));
    }
}

endpoint bound_address(const uv_tcp_t& handle, const endpoint& requested) {
    sockaddr_in bound{};
    int size = sizeof bound;
    uv_tcp_getsockname(&handle, reinterpret_cast<sockaddr*>(&bound), &size);
    return {requested.address, ntohs(bound.sin_port)};
}

} // namespace

absl::StatusOr<std::unique_ptr<tcp_acceptor>>
tcp_acceptor::make(event_loop& loop, const endpoint& address, accept_handler handler) {
    auto listener = std::make_unique<native_listener>();
    listener->loop = &loop;
    listener->handler = std::move(handler);
    uv_tcp_init(loop.native(), &listener->handle);
    listener->handle.data = listener.get();
    sockaddr_in socket_address{};
    int result = uv_ip4_addr(address.address.c_str(), address.port, &socket_address);
    if (result == 0) {
        result =
            uv_tcp_bind(&listener->handle, reinterpret_cast<const sockaddr*>(&socket_address), 0);
    }
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t*>(&listener->handle),
                           max_pending_connections, on_incoming_connection<native_listener>);
    }
    const endpoint bound = bound_address(listener->handle, address);
    std::unique_ptr<tcp_acceptor> acceptor(new tcp_acceptor(std::move(listener), bound));
    if (result != 0) {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", address.str(), ": ", uv_strerror(result)));
    }
    return acceptor;
}

tcp_acceptor::tcp_acceptor(std::unique_ptr<native_listener> listener, endpoint address)
    : listener_(std::move(listener)), address_(std::move(address)) {}

tcp_acceptor::~tcp_acceptor() {
    uv_close(reinterpret_cast<uv_handle_t*>(&listener_.release()->handle),
             [](uv_handle_t* handle) { delete static_cast<native_listener*>(handle->data); });
}

} // namespace jujubetide
