#include "jujubetide/net/udp_socket.h"

#include "jujubetide/net/event_loop.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <utility>
#include <uv.h>

namespace jujubetide {

struct udp_socket::native_socket {
    uv_udp_t handle{};
    event_loop* loop = nullptr;
    datagram_handler handler;
};

absl::StatusOr<std::unique_ptr<udp_socket>>
udp_socket::make(event_loop& loop, const endpoint& address, datagram_handler handler) {
    auto socket = std::make_unique<native_socket>();
    socket->loop = &loop;
    socket->handler = std::move(handler);
    uv_udp_init(loop.native(), &socket->handle);
    socket->handle.data = socket.get();
    sockaddr_in socket_address{};
    int result = uv_ip4_addr(address.address.c_str(), address.port, &socket_address);
    if (result == 0) {
        result =
            uv_udp_bind(&socket->handle, reinterpret_cast<const sockaddr*>(&socket_address), 0);
    }
    if (result == 0) {
        result = uv_udp_recv_start(
            &socket->handle,
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                const auto space = static_cast<native_socket*>(handle->data)->loop->read_buffer();
                *buffer = uv_buf_init(space.data(), static_cast<unsigned int>(space.size()));
            },
            [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from,
               unsigned) {
                if (count > 0 && from != nullptr) {
                    static_cast<native_socket*>(handle->data)
                        ->handler({buffer->base, static_cast<std::size_t>(count)});
                }
            });
    }
    std::unique_ptr<udp_socket> receiver(new udp_socket(std::move(socket)));
    if (result != 0) {
        return absl::UnavailableError(
            absl::StrCat("cannot receive on ", address.str(), ": ", uv_strerror(result)));
    }
    return receiver;
}

udp_socket::udp_socket(std::unique_ptr<native_socket> socket) : socket_(std::move(socket)) {}

udp_socket::~udp_socket() {
    uv_close(reinterpret_cast<uv_handle_t*>(&socket_.release()->handle),
             [](uv_handle_t* handle) { delete static_cast<native_socket*>(handle->data); });
}

void udp_socket::send(const endpoint& destination, std::string_view bytes) {
    sockaddr_in socket_address{};
    if (uv_ip4_addr(destination.address.c_str(), destination.port, &socket_address) != 0) {
        return;
    }
    const uv_buf_t buffer =
        uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned int>(bytes.size()));
    uv_udp_try_send(&socket_->handle, &buffer, 1,
                    reinterpret_cast<const sockaddr*>(&socket_address));
}

} // namespace jujubetide
