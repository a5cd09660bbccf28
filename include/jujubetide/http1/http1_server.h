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
    /// Longest silence of a caller before a request, and within a body.
    millis idle_timeout{15'000};
    /// Connections beyond this number are closed at once.
    std::size_t max_connections = 2'500;
};

/// One request that waits for its response. The request keeps it alive; the connection tells it
/// when the caller has gone.
class http1_exchange {
public:
    virtual ~http1_exchange() = default;

    /// Sends the head of the response. Errors and whole answers use `respond`.
    void begin(int status, const header_list& headers, body_framing framing,
               std::uint64_t content_length) {
        do_begin(status, headers, framing, content_length);
    }
    void write(std::string_view body) { do_write(body); }
    /// The response is whole.
    void finish() { do_finish(); }
    /// Ends a begun response so that the caller can see that it is not whole.
    void abort() { do_abort(); }
    /// A whole response in one.
    void respond(int status, const header_list& headers, std::string_view body);
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t unsent_bytes() const { return do_unsent_bytes(); }

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
};

/// Takes the events of one request.
class exchange_events {
public:
    virtual ~exchange_events() = default;
    /// The caller closed its connection before the response was whole. Nothing more can be sent.
    void on_caller_disconnected() { do_caller_disconnected(); }
    /// The caller has taken what waited.
    void on_drained() { do_drained(); }

protected:
    exchange_events() = default;
    exchange_events(const exchange_events&) = default;
    exchange_events& operator=(const exchange_events&) = default;
    virtual void do_caller_disconnected() = 0;
    virtual void do_drained() {}
};

/// Answers whole requests.
class http1_handler {
public:
    virtual ~http1_handler() = default;
    /// Takes a request with its whole body. The handler keeps the exchange until it has responded,
    /// and returns what takes the exchange's events, or null when it has responded already.
    std::shared_ptr<exchange_events> on_request(request_head head, std::string body,
                                                time_point began,
                                                std::shared_ptr<http1_exchange> exchange) {
        return do_request(std::move(head), std::move(body), began, std::move(exchange));
    }
    /// The answer to a request that the server refuses by itself, such as a malformed one.
    [[nodiscard]] std::string error_body(int status) const { return do_error_body(status); }

protected:
    http1_handler() = default;
    http1_handler(const http1_handler&) = default;
    http1_handler& operator=(const http1_handler&) = default;
    virtual std::shared_ptr<exchange_events>
    do_request(request_head head, std::string body, time_point began,
               std::shared_ptr<http1_exchange> exchange) = 0;
    [[nodiscard]] virtual std::string do_error_body(int status) const = 0;
};

class server_connection;

/// An HTTP/1.1 server on an event loop.
class http1_server {
public:
    /// The loop, clock and handler must outlive the server. Errors as for `tcp_acceptor::make`.
    static absl::StatusOr<std::unique_ptr<http1_server>>
    make(event_loop& loop, const clock& time, const endpoint& at, http1_handler& handler);
    ~http1_server();
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;

    [[nodiscard]] const endpoint& address() const { return address_; }
    void set_limits(const http1_limits& limits) { limits_ = limits; }
    /// Takes no new connections.
    void stop_accepting() { acceptor_.reset(); }
    /// Responses tell callers to close the connection from now on.
    void begin_closing() { closing_ = true; }
    /// Closes the connections on which there was no request for this long.
    void close_idle(micros silence);
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    friend class server_connection;

    http1_server(event_loop& loop, const clock& time, http1_handler& handler);
    void add(std::shared_ptr<tcp_connection> connection);
    void sweep();

    event_loop& loop_;
    const clock& clock_;
    http1_handler& handler_;
    http1_limits limits_;
    bool closing_ = false;
    std::unique_ptr<tcp_acceptor> acceptor_;
    endpoint address_;
    absl::flat_hash_set<std::shared_ptr<server_connection>> connections_;
    std::unique_ptr<timer_subscription> sweeper_;
};

} // namespace jujubetide
