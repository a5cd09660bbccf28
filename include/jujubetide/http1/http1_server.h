#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/http1/message.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"

#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>

namespace jujubetide {

struct http1_limits {
    std::size_t max_head_bytes = 16'384;
    std::size_t max_body_bytes = 4U << 20U;
    /// Longest time from a request's first byte to the end of its headers.
    millis head_timeout{3'000};
    /// Longest time without bytes from a caller, before a request and within a body.
    millis idle_timeout{15'000};
    /// One more ends the connection that has been quiet for the longest time and awaits no
    /// response, or is closed if there is none.
    std::size_t max_connections = 2'500;
};

/// One request that awaits its response. The handler keeps it alive; the connection reports through
/// `exchange_events` when the caller has disconnected.
class http1_exchange {
public:
    virtual ~http1_exchange() = default;

    /// Sends the head of the response. Errors and complete responses use `respond`.
    void begin(int status, const header_list& headers, body_framing framing,
               std::uint64_t content_length) {
        do_begin(status, headers, framing, content_length);
    }
    void write(std::string_view body) { do_write(body); }
    /// Ends a response that is complete.
    void finish() { do_finish(); }
    /// Ends a started response so that the caller can detect that it is incomplete.
    void abort() { do_abort(); }
    /// Sends a complete response.
    void respond(int status, const header_list& headers, std::string_view body);
    /// Bytes queued for the caller.
    [[nodiscard]] std::size_t unsent_bytes() const { return do_unsent_bytes(); }
    /// Whether to pause until `exchange_events::on_drained`, as for `tcp_connection`.
    [[nodiscard]] bool is_backed_up() const { return do_is_backed_up(); }

protected:
    http1_exchange() = default;
    http1_exchange(const http1_exchange&) = default;
    http1_exchange& operator=(const http1_exchange&) = default;
    virtual void do_begin(int status, const header_list& headers, body_framing framing,
                          std::uint64_t content_length) = 0;
    virtual void do_write(std::string_view body) = 0;
    virtual void do_finish() = 0;
    virtual void do_abort() = 0;
    [[nodiscard]] virtual std::size_t do_unsent_bytes() const = 0;
    [[nodiscard]] virtual bool do_is_backed_up() const = 0;
};

/// Receives the events of one request.
class exchange_events {
public:
    virtual ~exchange_events() = default;
    /// The caller's connection ended before the response was complete. Nothing more can be sent.
    void on_caller_disconnected() { do_caller_disconnected(); }
    /// The queued bytes have fallen below `tcp_connection::low_water_bytes`.
    void on_drained() { do_drained(); }

protected:
    exchange_events() = default;
    exchange_events(const exchange_events&) = default;
    exchange_events& operator=(const exchange_events&) = default;
    virtual void do_caller_disconnected() = 0;
    virtual void do_drained() {}
};

/// What a connection was ended for before its request was complete.
enum class eviction_cause { memory, connections };

/// Responds to complete requests.
class http1_handler {
public:
    virtual ~http1_handler() = default;
    /// Receives a request with its complete body. The handler keeps the exchange until it has
    /// responded, and returns the receiver of the exchange's events, or null if it has already
    /// responded. `started` is when the first byte of the request arrived.
    std::shared_ptr<exchange_events> on_request(request_head head, std::string body,
                                                time_point started,
                                                std::shared_ptr<http1_exchange> exchange) {
        return do_request(std::move(head), std::move(body), started, std::move(exchange));
    }
    /// The response body for a request that the server itself rejects, such as a malformed one.
    [[nodiscard]] std::string error_body(int status) const { return do_error_body(status); }
    /// The headers of such a response; `head` is empty if it was not complete.
    [[nodiscard]] header_list error_headers(int status, const request_head& head) const {
        return do_error_headers(status, head);
    }

    /// A connection was ended for want of room for others.
    void on_eviction(eviction_cause cause) { do_eviction(cause); }

protected:
    http1_handler() = default;
    http1_handler(const http1_handler&) = default;
    http1_handler& operator=(const http1_handler&) = default;
    virtual std::shared_ptr<exchange_events>
    do_request(request_head head, std::string body, time_point started,
               std::shared_ptr<http1_exchange> exchange) = 0;
    [[nodiscard]] virtual std::string do_error_body(int status) const = 0;
    [[nodiscard]] virtual header_list do_error_headers(int status, const request_head& head) const;
    virtual void do_eviction(eviction_cause) {}
};

class server_connection;

/// An HTTP/1.1 server on an event loop.
class http1_server {
public:
    /// The loop, clock and handler must outlive the server. Errors as for `tcp_acceptor::make`.
    static absl::StatusOr<std::unique_ptr<http1_server>>
    make(event_loop& loop, const clock& time, const endpoint& address, http1_handler& handler);
    ~http1_server();
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;

    [[nodiscard]] const endpoint& address() const { return address_; }
    void set_limits(const http1_limits& limits) { limits_ = limits; }
    /// Stops accepting connections; the existing ones stay open.
    void stop_accepting() { acceptor_.reset(); }
    /// From now on, responses tell callers to close the connection.
    void begin_closing() { closing_ = true; }
    /// Closes the connections that have had no request for `idle_time`.
    void close_idle(micros idle_time);
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    friend class server_connection;

    http1_server(event_loop& loop, const clock& time, http1_handler& handler);
    void add(std::shared_ptr<tcp_connection> connection);
    void check_timeouts();
    /// Ends the quietest connection; returns whether there was one that may be ended.
    bool evict_connection();

    event_loop& loop_;
    const clock& clock_;
    http1_handler& handler_;
    http1_limits limits_;
    bool closing_ = false;
    std::unique_ptr<tcp_acceptor> acceptor_;
    endpoint address_;
    absl::flat_hash_set<std::shared_ptr<server_connection>> connections_;
    std::unique_ptr<timer_subscription> timeout_timer_;
};

} // namespace jujubetide
