#pragma once

#include "jujubetide/http1/message.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace jujubetide {

/// Receives the parts of one message.
class message_events {
public:
    virtual ~message_events() = default;
    void on_request_head(request_head head) { do_request_head(std::move(head)); }
    void on_response_head(response_head head) { do_response_head(std::move(head)); }
    void on_body(std::string_view bytes) { do_body(bytes); }

protected:
    message_events() = default;
    message_events(const message_events&) = default;
    message_events& operator=(const message_events&) = default;
    virtual void do_request_head(request_head) {}
    virtual void do_response_head(response_head) {}
    virtual void do_body(std::string_view bytes) = 0;
};

enum class parse_state { incomplete, complete, malformed };

/// Parses HTTP/1.1 messages from the bytes of a connection, strictly: a message with ambiguous
/// framing is malformed. Not thread-safe.
class message_parser {
public:
    enum class kind { request, response };

    /// `max_head_bytes` limits the first line and the headers; 0 means no limit.
    message_parser(kind message_kind, message_events& events, std::size_t max_head_bytes = 0);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Consumes bytes up to the end of the message at most; returns how many.
    std::size_t feed(std::string_view bytes);
    /// The peer closed the connection in order; this completes a body without any other framing.
    void feed_eof();
    /// Prepares for the next message on the connection.
    void restart();

    [[nodiscard]] parse_state state() const { return state_; }
    /// Whether a byte of the current message has arrived.
    [[nodiscard]] bool has_begun() const { return begun_; }
    [[nodiscard]] bool is_head_complete() const { return head_complete_; }
    [[nodiscard]] bool is_head_too_large() const { return head_too_large_; }
    /// Memory that the head of the current message takes, also once it was reported.
    [[nodiscard]] std::size_t head_memory() const;

private:
    struct native;
    friend struct native;

    kind kind_;
    message_events& events_;
    std::size_t max_head_bytes_;
    std::unique_ptr<native> native_;
    parse_state state_ = parse_state::incomplete;
    bool begun_ = false;
    bool head_complete_ = false;
    bool head_too_large_ = false;
    std::size_t head_bytes_ = 0;
    /// Of a head that was reported.
    std::size_t head_memory_ = 0;
};

} // namespace jujubetide
