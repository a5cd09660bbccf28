// The library connects while it holds the lock that its stop() takes, so that a stop during the
// connection would wait for as long as the connection's timeout. Whether the connection stands is
// therefore noted apart.
#include "backend/closable_connection.h"

#include "http/http_request.h"

namespace jujubetide {
namespace {

/// A function of its own, so that tools/tsan.supp can name just this call.
[[gnu::noinline]] void close_connection(httplib::ClientImpl& client) {
    client.stop();
}

} // namespace

closable_connection::closable_connection(const endpoint& server, const http_timeouts& timeouts)
    : ClientImpl(server.address, server.port) {
    set_options(*this, timeouts);
}

void closable_connection::close() {
    if (connected_) {
        close_connection(*this);
    }
}

bool closable_connection::create_and_connect_socket(Socket& socket, httplib::Error& error) {
    connected_ = ClientImpl::create_and_connect_socket(socket, error);
    return connected_;
}

} // namespace jujubetide
