#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/memory_share.h"
#include "jujubetide/http1/message.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_connection.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace jujubetide {

/// Why a call ended without a complete response.
enum class call_failure {
    /// No connection was established; nothing was sent.
    not_connected,
    /// The connection ended or the response was malformed after at least part of the request was
    /// sent.
    response_failed,
    timed_out,
    /// The response is larger than its receiver may buffer.
    response_too_large,
};

/// Receives the events of one call. `on_complete` or `on_failed` is the last one, unless the call
/// is cancelled.
class call_events {
public:
    virtual ~call_events() = default;
    /// Returns whether the response belongs to this call; otherwise it is skipped and the next
    /// response on the connection is awaited.
    [[nodiscard]] bool on_head(const response_head& head) { return do_head(head); }
    void on_body(std::string_view bytes) { do_body(bytes); }
    void on_complete() { do_complete(); }
    void on_failed(call_failure failure) { do_failed(failure); }

protected:
    call_events() = default;
    call_events(const call_events&) = default;
    call_events& operator=(const call_events&) = default;
    [[nodiscard]] virtual bool do_head(const response_head& head) = 0;
    virtual void do_body(std::string_view bytes) = 0;
    virtual void do_complete() = 0;
    virtual void do_failed(call_failure failure) = 0;
};

struct call_options {
    micros connect_timeout{std::chrono::seconds(1)};
    /// Longest time until the end of the response; 0 means no limit.
    micros timeout{0};
    /// A pooled connection is reused only if idle for less than this; 0 always opens a new one.
    micros max_idle{std::chrono::seconds(4)};
    /// The id by which responses are matched to the call; empty if there is none. A connection
    /// carries an id once only, so that no copy of an earlier response is taken for the call's own.
    std::string correlation_id;
};

/// Tells the connections that a client has opened apart, and the calls on one.
struct connection_use {
    /// Number of the connection among those that the client has opened, from 1.
    std::uint64_t connection = 0;
    /// Calls that the connection carried before.
    std::uint64_t earlier_calls = 0;
};

/// A running call. Destroying it cancels the call and closes its connection.
class http1_call {
public:
    http1_call() = default;
    virtual ~http1_call() = default;
    http1_call(const http1_call&) = delete;
    http1_call& operator=(const http1_call&) = delete;

    /// Pauses and resumes reading the response when its receiver cannot keep up.
    void pause() { do_set_reading(false); }
    void resume() { do_set_reading(true); }
    [[nodiscard]] connection_use connection() const { return do_connection(); }
    /// Closes the connection after the response.
    void prevent_reuse() { do_prevent_reuse(); }

protected:
    virtual void do_set_reading(bool enabled) = 0;
    [[nodiscard]] virtual connection_use do_connection() const = 0;
    virtual void do_prevent_reuse() = 0;
};

/// Makes HTTP/1.1 calls over pooled keep-alive connections, one at a time on each.
class http1_client {
public:
    /// The loop and clock must outlive the client.
    http1_client(event_loop& loop, const clock& time);
    ~http1_client();
    http1_client(const http1_client&) = delete;
    http1_client& operator=(const http1_client&) = delete;

    /// Sends `request`, which is already serialized. `events` must outlive the call. No event is
    /// delivered before this returns.
    [[nodiscard]] std::unique_ptr<http1_call> call(const endpoint& server, std::string request,
                                                   const call_options& options,
                                                   call_events& events);
    /// Limits what the connections of the client's loop buffer.
    [[nodiscard]] memory_budget& buffers() const;
    /// Connections to `server`, in use or idle.
    [[nodiscard]] std::size_t open_connections(const endpoint& server) const;
    /// Connections opened since the start.
    [[nodiscard]] std::uint64_t connections_opened() const;

    struct shared_state;

private:
    std::shared_ptr<shared_state> state_;
};

/// A complete response.
struct http1_response {
    int status = 0;
    header_list headers;
    std::string body;
};
/// Receives the response, or null and the reason why the call failed.
using response_handler = std::function<void(const http1_response*, call_failure)>;

/// Buffers the response of a small call, such as one to the platform, and passes it to the handler
/// once it is complete.
class buffered_call final : public call_events {
public:
    /// A call whose response body is larger than this fails, as soon as that is known.
    static constexpr std::size_t max_body_bytes = 16U << 20U;

    static std::unique_ptr<buffered_call> start(http1_client& client, const endpoint& server,
                                                std::string request, const call_options& options,
                                                response_handler handler);

protected:
    [[nodiscard]] bool do_head(const response_head& head) override;
    void do_body(std::string_view bytes) override;
    void do_complete() override;
    void do_failed(call_failure failure) override;

private:
    buffered_call(memory_budget& buffers, response_handler handler)
        : handler_(std::move(handler)), memory_(buffers, memory_use::control) {}
    void fail_too_large();

    response_handler handler_;
    http1_response response_;
    memory_share memory_;
    std::unique_ptr<http1_call> call_;
};

} // namespace jujubetide
