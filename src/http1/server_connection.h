#pragma once

#include "jujubetide/base/memory_share.h"
#include "jujubetide/http1/http1_server.h"
#include "jujubetide/http1/message_parser.h"

#include <memory>
#include <string>

namespace jujubetide {

/// A caller's connection: reads requests one at a time and sends their responses.
class server_connection final : public connection_events,
                                public message_events,
                                public reclaimable_memory,
                                public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http1_server& server, std::shared_ptr<tcp_connection> connection);

    void start() { connection_->set_events(*this); }
    /// Applies the time limits.
    void check_timeouts(time_point now);
    void close_if_idle(time_point now, micros idle_time);
    /// Closes the connection without a response.
    void drop();
    /// Whether no request of the connection is being answered.
    [[nodiscard]] bool is_evictable() const;
    /// Ends the connection at once for another; a request that has begun is answered 503.
    void evict();

    void begin_response(int status, const header_list& headers, body_framing framing,
                        std::uint64_t content_length);
    void write_body(std::string_view body);
    void finish_response();
    void abort_response();
    [[nodiscard]] std::size_t unsent_bytes() const { return connection_->unsent_bytes(); }
    [[nodiscard]] bool is_backed_up() const { return connection_->is_backed_up(); }

protected:
    void do_data(std::string_view bytes) override;
    void do_drained() override;
    void do_end(connection_end end) override;
    void do_request_head(request_head head) override;
    void do_body(std::string_view bytes) override;
    [[nodiscard]] unfinished_request do_held(time_point now) const override;
    void do_reclaim() override;

private:
    enum class state { reading, responding, lingering, closed };

    void read_next_request();
    void parse(std::string_view bytes);
    void dispatch();
    /// Whether the request may hold `body_bytes` for its body; holds them if so.
    [[nodiscard]] bool hold_body(std::size_t body_bytes);
    /// Lets the budget reclaim what the request holds until it is complete.
    void set_reclaimable(bool reclaimable);
    void answer_error(int status);
    /// Keeps bytes that follow the current request; pauses reading when they are too many. Without
    /// memory for them, the connection ends after the current response and its caller sends the
    /// requests again on another.
    void keep_pipelined(std::string_view bytes);
    void reject(int status);
    void linger();
    /// Whether the caller has yet to take bytes of an answer, which counts as activity. A caller
    /// that takes none is ended by the connection's own time limits.
    bool is_sending(time_point now);
    void check_reading_timeouts(time_point now);
    void remove_from_server();

    http1_server& server_;
    std::shared_ptr<tcp_connection> connection_;
    message_parser parser_;
    state state_ = state::reading;
    request_head head_;
    std::string body_;
    bool body_too_large_ = false;
    bool memory_exhausted_ = false;
    bool is_reclaimable_ = false;
    /// What the current request takes, until it has been answered.
    memory_share request_memory_;
    /// Bytes received after the current request.
    std::string pipelined_bytes_;
    bool drops_pipelined_ = false;
    memory_share pipelined_memory_;
    std::shared_ptr<exchange_events> exchange_;
    body_framing response_framing_ = body_framing::none;
    bool keep_alive_ = true;
    bool is_dispatching_ = false;
    time_point request_started_{};
    time_point last_activity_{};
};

} // namespace jujubetide
