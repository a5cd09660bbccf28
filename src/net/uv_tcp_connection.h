#pragma once

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_connection.h"

#include <cstdint>
#include <optional>
#include <uv.h>

namespace jujubetide {

/// A connection over libuv. Keeps itself alive until the loop has closed its handle.
class uv_tcp_connection final : public tcp_connection,
                                public std::enable_shared_from_this<uv_tcp_connection> {
public:
    explicit uv_tcp_connection(event_loop& loop);
    ~uv_tcp_connection() override = default;
    uv_tcp_connection(const uv_tcp_connection&) = delete;
    uv_tcp_connection& operator=(const uv_tcp_connection&) = delete;

    void start_connect(const endpoint& peer, connection_events& events);
    /// Accepts the next connection of a listener; returns whether there was one.
    bool accept(uv_stream_t* listener);

protected:
    void do_set_events(connection_events& events) override;
    void do_write(std::string_view bytes) override;
    void do_finish_sending() override;
    [[nodiscard]] std::size_t do_unsent_bytes() const override;
    [[nodiscard]] std::size_t do_unacknowledged_bytes() const override;
    [[nodiscard]] bool do_is_backed_up() const override { return is_backed_up_; }
    [[nodiscard]] bool do_has_unread_bytes() const override;
    [[nodiscard]] bool do_has_unread_input() const override;
    void do_set_reading(bool enabled) override;
    void do_close(bool reset) override;
    [[nodiscard]] bool do_is_open() const override { return open_; }

private:
    static void on_connect(uv_connect_t* request, int status);
    /// Gives libuv the loop's buffer, once a round for each connection.
    static void on_read_space(uv_handle_t* handle, std::size_t, uv_buf_t* buffer);
    static void on_read(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer);
    static void on_written(uv_write_t* request, int status);
    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle_); }
    void set_socket_options();
    [[nodiscard]] bool has_orderly_end() const;
    /// Result of `recv` for the next byte, which stays unread.
    [[nodiscard]] ssize_t peek_byte() const;
    void close_and_notify(connection_end reason);
    void end_after_failed_write();
    void close_handle();

    event_loop& loop_;
    uv_tcp_t handle_{};
    uv_connect_t connect_{};
    uv_shutdown_t shutdown_{};
    connection_events* events_ = nullptr;
    /// Keeps the object alive while the loop uses the handle.
    std::shared_ptr<uv_tcp_connection> self_;
    /// The loop's round of the last read.
    std::optional<std::uint64_t> last_read_round_;
    /// Of the time of the peer's orderly end.
    std::size_t unacknowledged_at_end_ = 0;
    bool open_ = false;
    bool established_ = false;
    bool reading_ = false;
    bool closing_after_writes_ = false;
    bool sending_finished_ = false;
    /// The system has rejected bytes: nothing more can be sent.
    bool write_failed_ = false;
    /// The unsent bytes exceeded the high-water mark and have not fallen below `low_water_bytes`
    /// since.
    bool is_backed_up_ = false;
};

} // namespace jujubetide
