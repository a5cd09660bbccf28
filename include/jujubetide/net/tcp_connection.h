#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace jujubetide {

class event_loop;

/// How the peer's side of a connection ended.
enum class connection_end {
    /// The peer closed after its last byte.
    closed,
    /// Reset, timed out, or not established.
    failed,
};

/// Receives the events of one connection. No event follows `on_end`, or the owner's `close` or
/// `reset`.
class connection_events {
public:
    virtual ~connection_events() = default;
    void on_connected() { do_connected(); }
    void on_data(std::string_view bytes) { do_data(bytes); }
    /// The unsent bytes have fallen below `tcp_connection::low_water_bytes`.
    void on_drained() { do_drained(); }
    void on_end(connection_end end) { do_end(end); }

protected:
    connection_events() = default;
    connection_events(const connection_events&) = default;
    connection_events& operator=(const connection_events&) = default;
    virtual void do_connected() {}
    virtual void do_data(std::string_view bytes) = 0;
    virtual void do_drained() {}
    virtual void do_end(connection_end end) = 0;
};

/// A TCP connection on an event loop. Dead peers are detected by keep-alive probes and by a limit
/// on the time that sent bytes stay unacknowledged.
class tcp_connection {
public:
    /// A sender should pause above this many unsent bytes, and resume below `low_water_bytes`.
    static constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;
    static constexpr std::size_t low_water_bytes = std::size_t{64} * 1024;

    /// Starts to connect. `events` must outlive the connection or be removed by `close`.
    static std::shared_ptr<tcp_connection> connect(event_loop& loop, const endpoint& peer,
                                                   connection_events& events);

    virtual ~tcp_connection() = default;
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    void set_events(connection_events& events) { do_set_events(events); }
    /// Sends `bytes` in order, at once or as the peer accepts them.
    void write(std::string_view bytes) { do_write(bytes); }
    /// Bytes that the system has not accepted yet.
    [[nodiscard]] std::size_t unsent_bytes() const { return do_unsent_bytes(); }
    /// Bytes that the peer's system has not confirmed yet; after the peer's orderly end, as of
    /// then.
    [[nodiscard]] std::size_t unacknowledged_bytes() const { return do_unacknowledged_bytes(); }
    /// Whether the sender should pause until `on_drained`: above `high_water_bytes`, or earlier
    /// while the loop's buffers are short of memory.
    [[nodiscard]] bool is_backed_up() const { return do_is_backed_up(); }
    /// Sends the unsent bytes, then ends this side of the connection; the peer's bytes are still
    /// received. Later writes are ignored.
    void finish_sending() { do_finish_sending(); }
    /// Whether bytes of the peer have arrived that were not reported yet.
    [[nodiscard]] bool has_unread_bytes() const { return do_has_unread_bytes(); }
    /// Whether bytes of the peer, or the end of the connection, have arrived that were not reported
    /// yet.
    [[nodiscard]] bool has_unread_input() const { return do_has_unread_input(); }
    void pause_reading() { do_set_reading(false); }
    void resume_reading() { do_set_reading(true); }
    /// Sends the unsent bytes, then closes. No further events.
    void close() { do_close(false); }
    /// Closes at once with a reset, so that the peer cannot mistake what it received for complete.
    void reset() { do_close(true); }
    [[nodiscard]] bool is_open() const { return do_is_open(); }

protected:
    tcp_connection() = default;
    virtual void do_set_events(connection_events& events) = 0;
    virtual void do_write(std::string_view bytes) = 0;
    virtual void do_finish_sending() = 0;
    [[nodiscard]] virtual std::size_t do_unsent_bytes() const = 0;
    [[nodiscard]] virtual std::size_t do_unacknowledged_bytes() const = 0;
    [[nodiscard]] virtual bool do_is_backed_up() const = 0;
    [[nodiscard]] virtual bool do_has_unread_bytes() const = 0;
    [[nodiscard]] virtual bool do_has_unread_input() const = 0;
    virtual void do_set_reading(bool enabled) = 0;
    virtual void do_close(bool reset) = 0;
    [[nodiscard]] virtual bool do_is_open() const = 0;
};

} // namespace jujubetide
