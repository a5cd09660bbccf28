// Bytes are first written to the socket directly; only what it does not accept is copied and
// queued.
#include "net/uv_tcp_connection.h"

#include "jujubetide/base/memory_share.h"

#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace jujubetide {
namespace {

/// Idle seconds before the first keep-alive probe, and seconds between probes.
constexpr int probe_interval_s = 1;
/// Unanswered probes after which the connection is considered dead.
constexpr int max_unanswered_probes = 2;
/// Longest time for which sent bytes may stay unacknowledged, in milliseconds.
constexpr unsigned int user_timeout_ms = 3'000;
// Where TCP_USER_TIMEOUT is set, Linux gives up keep-alive probes by it, whatever their number.
static_assert(user_timeout_ms == 1'000U * probe_interval_s * (1 + max_unanswered_probes));

/// High-water mark of a connection while the loop's buffers are short of memory.
constexpr std::size_t short_of_memory_bytes = std::size_t{16} * 1024;

struct queued_write {
    queued_write(memory_budget& buffers, std::string_view unsent)
        : bytes(unsent), memory(buffers, memory_use::traffic) {
        memory.force(bytes.size());
    }
    uv_write_t request{};
    std::string bytes;
    memory_share memory;
};

} // namespace

uv_tcp_connection::uv_tcp_connection(event_loop& loop) : loop_(loop) {
    uv_tcp_init(loop_.native(), &handle_);
    handle_.data = this;
}

std::shared_ptr<tcp_connection> tcp_connection::connect(event_loop& loop, const endpoint& peer,
                                                        connection_events& events) {
    auto connection = std::make_shared<uv_tcp_connection>(loop);
    connection->start_connect(peer, events);
    return connection;
}

void uv_tcp_connection::start_connect(const endpoint& peer, connection_events& events) {
    events_ = &events;
    self_ = shared_from_this();
    open_ = true;
    sockaddr_in address{};
    uv_ip4_addr(peer.address.c_str(), peer.port, &address);
    connect_.data = this;
    const int result = uv_tcp_connect(&connect_, &handle_,
                                      reinterpret_cast<const sockaddr*>(&address), on_connect);
    if (result != 0) {
        // Reported by the close callback: no event may come before the caller holds the connection.
        connect_.type = UV_UNKNOWN_REQ;
        close_handle();
    }
}

bool uv_tcp_connection::accept(uv_stream_t* listener) {
    self_ = shared_from_this();
    open_ = true;
    established_ = true;
    if (uv_accept(listener, stream()) != 0) {
        close_handle();
        return false;
    }
    set_socket_options();
    return true;
}

void uv_tcp_connection::set_socket_options() {
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_), &fd) != 0) {
        return;
    }
    constexpr int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_interval_s, sizeof probe_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &max_unanswered_probes, sizeof max_unanswered_probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

void uv_tcp_connection::on_connect(uv_connect_t* request, int status) {
    auto* self = static_cast<uv_tcp_connection*>(request->data);
    if (!self->open_) {
        return;
    }
    if (status != 0) {
        self->close_and_notify(connection_end::failed);
        return;
    }
    self->established_ = true;
    self->set_socket_options();
    const auto guard = self->shared_from_this();
    self->do_set_reading(true);
    if (self->events_ != nullptr) {
        self->events_->on_connected();
    }
}

void uv_tcp_connection::on_read_space(uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
    auto* self = static_cast<uv_tcp_connection*>(handle->data);
    const std::uint64_t round = self->loop_.rounds();
    if (std::exchange(self->last_read_round_, round) == round) {
        // libuv would read the same connection many times while others wait.
        *buffer = uv_buf_init(nullptr, 0);
        return;
    }
    const auto space = self->loop_.read_buffer();
    *buffer = uv_buf_init(space.data(), static_cast<unsigned int>(space.size()));
}

void uv_tcp_connection::on_read(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
    auto* self = static_cast<uv_tcp_connection*>(stream->data);
    if (!self->open_ || count == 0 || count == UV_ENOBUFS) {
        return;
    }
    if (count < 0) {
        self->unacknowledged_at_end_ = self->do_unacknowledged_bytes();
        const bool is_orderly = count == UV_EOF && !self->write_failed_ && self->has_orderly_end();
        self->close_and_notify(is_orderly ? connection_end::closed : connection_end::failed);
        return;
    }
    const auto guard = self->shared_from_this();
    if (self->events_ != nullptr) {
        self->events_->on_data({buffer->base, static_cast<std::size_t>(count)});
    }
}

bool uv_tcp_connection::has_orderly_end() const {
    // libuv reports the end of the stream even if a reset came right after the last bytes.
    return peek_byte() == 0;
}

bool uv_tcp_connection::do_has_unread_bytes() const {
    return open_ && peek_byte() > 0;
}

bool uv_tcp_connection::do_has_unread_input() const {
    return !open_ || peek_byte() >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

ssize_t uv_tcp_connection::peek_byte() const {
    uv_os_fd_t fd = -1;
    char byte = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_), &fd) != 0) {
        return -1;
    }
    return recv(fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

void uv_tcp_connection::on_written(uv_write_t* request, int status) {
    auto* self = static_cast<uv_tcp_connection*>(request->handle->data);
    const auto guard = self->shared_from_this();
    delete static_cast<queued_write*>(request->data);
    if (self->closing_after_writes_ && self->do_unsent_bytes() == 0) {
        self->close_handle();
        return;
    }
    if (!self->open_) {
        return;
    }
    if (status != 0) {
        self->end_after_failed_write();
        return;
    }
    if (self->is_backed_up_ && self->do_unsent_bytes() < low_water_bytes) {
        self->is_backed_up_ = false;
        if (self->events_ != nullptr) {
            self->events_->on_drained();
        }
    }
}

void uv_tcp_connection::end_after_failed_write() {
    // Bytes that the peer sent before the connection broke are still read; the end follows them.
    write_failed_ = true;
    if (!reading_) {
        close_and_notify(connection_end::failed);
    }
}

void uv_tcp_connection::do_set_events(connection_events& events) {
    events_ = &events;
    do_set_reading(true);
}

void uv_tcp_connection::do_write(std::string_view bytes) {
    if (!open_ || closing_after_writes_ || sending_finished_ || write_failed_ || bytes.empty()) {
        return;
    }
    if (established_ && uv_stream_get_write_queue_size(stream()) == 0) {
        uv_buf_t direct =
            uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned int>(bytes.size()));
        const int accepted = uv_try_write(stream(), &direct, 1);
        if (accepted > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(accepted));
        }
        if (bytes.empty()) {
            return;
        }
    }
    auto* write = new queued_write(loop_.buffers(), bytes);
    write->request.data = write;
    const uv_buf_t buffer =
        uv_buf_init(write->bytes.data(), static_cast<unsigned int>(write->bytes.size()));
    if (uv_write(&write->request, stream(), &buffer, 1, on_written) != 0) {
        delete write; // The end of the connection follows as a read event.
        return;
    }
    const std::size_t unsent = do_unsent_bytes();
    const bool has_memory = loop_.buffers().allows(memory_use::traffic, 0, high_water_bytes);
    is_backed_up_ =
        is_backed_up_ || unsent > (has_memory ? high_water_bytes : short_of_memory_bytes);
}

void uv_tcp_connection::do_finish_sending() {
    if (!open_ || !established_ || std::exchange(sending_finished_, true)) {
        return;
    }
    // Fails only on a connection that has ended, which is reported by reading.
    uv_shutdown(&shutdown_, stream(), nullptr);
}

std::size_t uv_tcp_connection::do_unsent_bytes() const {
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&handle_));
}

std::size_t uv_tcp_connection::do_unacknowledged_bytes() const {
    uv_os_fd_t fd = -1;
    int in_system = 0;
    if (!open_ || uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_), &fd) != 0 ||
        ioctl(fd, SIOCOUTQ, &in_system) != 0) {
        return unacknowledged_at_end_;
    }
    return do_unsent_bytes() + static_cast<std::size_t>(in_system);
}

void uv_tcp_connection::do_set_reading(bool enabled) {
    if (!open_ || !established_ || enabled == reading_) {
        return;
    }
    reading_ = enabled;
    if (!enabled) {
        uv_read_stop(stream());
        return;
    }
    uv_read_start(stream(), on_read_space, on_read);
}

void uv_tcp_connection::do_close(bool reset) {
    events_ = nullptr;
    if (!open_ && !closing_after_writes_) {
        return;
    }
    open_ = false;
    if (reset && established_) {
        const auto guard = self_;
        closing_after_writes_ = false;
        if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&handle_)) == 0 &&
            uv_tcp_close_reset(&handle_, [](uv_handle_t* handle) {
                static_cast<uv_tcp_connection*>(handle->data)->self_.reset();
            }) == 0) {
            return;
        }
        close_handle();
        return;
    }
    if (established_ && do_unsent_bytes() > 0) {
        if (reading_) {
            uv_read_stop(stream());
            reading_ = false;
        }
        closing_after_writes_ = true;
        return;
    }
    close_handle();
}

void uv_tcp_connection::close_and_notify(connection_end reason) {
    const auto guard = shared_from_this();
    open_ = false;
    close_handle();
    if (events_ != nullptr) {
        std::exchange(events_, nullptr)->on_end(reason);
    }
}

void uv_tcp_connection::close_handle() {
    open_ = false;
    closing_after_writes_ = false;
    auto* handle = reinterpret_cast<uv_handle_t*>(&handle_);
    if (uv_is_closing(handle) != 0) {
        return;
    }
    uv_close(handle, [](uv_handle_t* closed) {
        auto* self = static_cast<uv_tcp_connection*>(closed->data);
        // Reports a connection for which connecting could not be started.
        if (self->events_ != nullptr) {
            std::exchange(self->events_, nullptr)->on_end(connection_end::failed);
        }
        self->self_.reset();
    });
}

} // namespace jujubetide
