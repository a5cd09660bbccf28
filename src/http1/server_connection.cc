#include "http1/server_connection.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Bytes of further requests that are buffered while one is answered; reading pauses above this.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;
/// How long input is still read and discarded after the last response, unless the caller closes
/// first: closing on unread input would reset the connection, and the caller could lose the
/// response.
constexpr micros linger_time{1'000'000};

/// What is allocated for a body before more than that has arrived.
constexpr std::size_t first_body_bytes = std::size_t{64} * 1024;
/// Copies of a request while it is sent to a server.
constexpr std::size_t sending_copies = 2;

constexpr int bad_request = 400;
constexpr int request_timeout = 408;
constexpr int payload_too_large = 413;
constexpr int header_fields_too_large = 431;
constexpr int service_unavailable = 503;

/// Frees the memory of a text; assigning an empty one keeps its capacity.
void release(std::string& text) {
    std::string().swap(text);
}

/// Sends the response of one request; keeps the connection alive while its owner holds it.
class server_exchange final : public http1_exchange {
public:
    explicit server_exchange(std::shared_ptr<server_connection> connection)
        : connection_(std::move(connection)) {}

protected:
    void do_begin(int status, const header_list& headers, body_framing framing,
                  std::uint64_t content_length) override {
        connection_->begin_response(status, headers, framing, content_length);
    }
    void do_write(std::string_view body) override { connection_->write_body(body); }
    void do_finish() override { connection_->finish_response(); }
    void do_abort() override { connection_->abort_response(); }
    [[nodiscard]] std::size_t do_unsent_bytes() const override {
        return connection_->unsent_bytes();
    }
    [[nodiscard]] bool do_is_backed_up() const override { return connection_->is_backed_up(); }

private:
    std::shared_ptr<server_connection> connection_;
};

} // namespace

server_connection::server_connection(http1_server& server,
                                     std::shared_ptr<tcp_connection> connection)
    : server_(server), connection_(std::move(connection)),
      parser_(message_parser::kind::request, *this, server.limits_.max_head_bytes),
      request_memory_(server.loop_.buffers(), memory_use::traffic),
      pipelined_memory_(server.loop_.buffers(), memory_use::traffic),
      last_activity_(server.clock_.now()) {}

void server_connection::do_data(std::string_view bytes) {
    const auto self = shared_from_this();
    if (state_ == state::lingering || state_ == state::closed) {
        return;
    }
    if (state_ == state::responding) {
        keep_pipelined(bytes);
        return;
    }
    last_activity_ = server_.clock_.now();
    parse(bytes);
}

void server_connection::parse(std::string_view bytes) {
    const bool had_begun = parser_.has_begun();
    const std::size_t consumed = parser_.feed(bytes);
    if (!had_begun && parser_.has_begun()) {
        request_started_ = last_activity_;
    }
    memory_exhausted_ = memory_exhausted_ || !hold_body(body_.capacity());
    if (body_too_large_ || memory_exhausted_) {
        reject(body_too_large_ ? payload_too_large : service_unavailable);
        return;
    }
    switch (parser_.state()) {
    case parse_state::incomplete:
        set_reclaimable(parser_.has_begun());
        return;
    case parse_state::malformed:
        reject(parser_.is_head_too_large() ? header_fields_too_large : bad_request);
        return;
    case parse_state::complete:
        if (!server_.loop_.buffers().make_room(*this, 0, sending_copies * request_memory_.size(),
                                               server_.clock_.now())) {
            reject(service_unavailable);
            return;
        }
        set_reclaimable(false);
        keep_pipelined(bytes.substr(consumed));
        dispatch();
        return;
    }
}

bool server_connection::hold_body(std::size_t body_bytes) {
    const std::size_t wanted = parser_.head_memory() + body_bytes;
    return server_.loop_.buffers().make_room(*this, request_memory_.size(), wanted,
                                             server_.clock_.now()) &&
           request_memory_.resize(wanted);
}

void server_connection::set_reclaimable(bool reclaimable) {
    if (std::exchange(is_reclaimable_, reclaimable) == reclaimable) {
        return;
    }
    if (reclaimable) {
        server_.loop_.buffers().add(*this);
    } else {
        server_.loop_.buffers().remove(*this);
    }
}

unfinished_request server_connection::do_held(time_point now) const {
    return {request_memory_.size(), now - request_started_, now - last_activity_};
}

void server_connection::do_reclaim() {
    const auto self = shared_from_this();
    server_.handler_.on_eviction(eviction_cause::memory);
    reject(service_unavailable);
}

void server_connection::do_request_head(request_head head) {
    head_ = std::move(head);
    release(body_);
    if (head_.content_length.value_or(0) > server_.limits_.max_body_bytes) {
        body_too_large_ = true;
        return;
    }
    if (head_.content_length.value_or(0) > server_.loop_.buffers().traffic_limit()) {
        memory_exhausted_ = true;
        return;
    }
    if (const auto expect = head_.headers.find("Expect");
        expect && has_token(*expect, "100-continue") && head_.has_body()) {
        connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void server_connection::do_body(std::string_view bytes) {
    body_too_large_ =
        body_too_large_ || body_.size() + bytes.size() > server_.limits_.max_body_bytes;
    if (body_too_large_ || memory_exhausted_) {
        return;
    }
    const std::size_t size = body_.size() + bytes.size();
    if (size > body_.capacity()) {
        const std::size_t largest = head_.content_length.value_or(server_.limits_.max_body_bytes);
        // What a client announces is not allocated before it arrives.
        const std::size_t wanted =
            std::min(largest, std::max({size, first_body_bytes, size + size / 2}));
        memory_exhausted_ = !hold_body(wanted);
        if (memory_exhausted_) {
            return;
        }
        // `reserve` would at least double the capacity.
        std::string larger;
        larger.reserve(wanted);
        larger += body_;
        body_.swap(larger);
    }
    body_ += bytes;
}

void server_connection::keep_pipelined(std::string_view bytes) {
    if (drops_pipelined_ || !pipelined_memory_.resize(pipelined_bytes_.size() + bytes.size())) {
        drops_pipelined_ = true;
        keep_alive_ = false;
        release(pipelined_bytes_);
        pipelined_memory_.force(0);
        return;
    }
    pipelined_bytes_ += bytes;
    const std::size_t next = pipelined_bytes_.size() + server_.loop_.read_buffer().size();
    if (pipelined_bytes_.size() > max_pipelined_bytes || !pipelined_memory_.fits(next)) {
        connection_->pause_reading();
    }
}

void server_connection::dispatch() {
    state_ = state::responding;
    keep_alive_ = head_.keep_alive && !drops_pipelined_;
    is_dispatching_ = true;
    auto events = server_.handler_.on_request(
        std::exchange(head_, {}), std::exchange(body_, {}), request_started_,
        std::make_shared<server_exchange>(shared_from_this()));
    is_dispatching_ = false;
    if (state_ == state::responding) {
        exchange_ = std::move(events);
        return;
    }
    read_next_request();
}

void server_connection::begin_response(int status, const header_list& headers, body_framing framing,
                                       std::uint64_t content_length) {
    if (state_ != state::responding) {
        return;
    }
    response_framing_ = framing;
    keep_alive_ = keep_alive_ && !server_.closing_ && framing != body_framing::until_close;
    if (keep_alive_) {
        connection_->write(serialize_response_head(status, headers, framing, content_length));
        return;
    }
    header_list closing_headers = headers;
    closing_headers.add("Connection", "close");
    connection_->write(serialize_response_head(status, closing_headers, framing, content_length));
}

void server_connection::write_body(std::string_view body) {
    if (state_ != state::responding || body.empty()) {
        return;
    }
    if (response_framing_ == body_framing::chunked) {
        connection_->write(serialize_chunk(body));
    } else {
        connection_->write(body);
    }
}

void server_connection::finish_response() {
    if (state_ != state::responding) {
        return;
    }
    const auto self = shared_from_this();
    if (response_framing_ == body_framing::chunked) {
        connection_->write(last_chunk);
    }
    exchange_.reset();
    if (!keep_alive_) {
        linger();
        return;
    }
    state_ = state::reading;
    request_memory_.force(0);
    parser_.restart();
    last_activity_ = server_.clock_.now();
    if (!is_dispatching_) {
        read_next_request();
    }
}

void server_connection::abort_response() {
    if (state_ != state::responding) {
        return;
    }
    const auto self = shared_from_this();
    exchange_.reset();
    drop();
}

void server_connection::read_next_request() {
    if (state_ != state::reading) {
        return;
    }
    connection_->resume_reading();
    if (!pipelined_bytes_.empty()) {
        pipelined_memory_.force(0);
        parse(std::exchange(pipelined_bytes_, {}));
    }
}

void server_connection::reject(int status) {
    answer_error(status);
    finish_response();
}

void server_connection::answer_error(int status) {
    set_reclaimable(false);
    state_ = state::responding;
    keep_alive_ = false;
    release(body_);
    request_memory_.force(0);
    const header_list headers = server_.handler_.error_headers(status, std::exchange(head_, {}));
    const std::string body = server_.handler_.error_body(status);
    begin_response(status, headers, body_framing::length, body.size());
    write_body(body);
}

bool server_connection::is_evictable() const {
    return state_ == state::reading || state_ == state::lingering;
}

void server_connection::evict() {
    const auto self = shared_from_this();
    server_.handler_.on_eviction(eviction_cause::connections);
    if (state_ == state::reading && parser_.has_begun()) {
        answer_error(service_unavailable);
    }
    drop();
}

void server_connection::linger() {
    state_ = state::lingering;
    last_activity_ = server_.clock_.now();
    connection_->finish_sending();
    connection_->resume_reading();
}

bool server_connection::is_sending(time_point now) {
    if (connection_->unsent_bytes() == 0) {
        return false;
    }
    last_activity_ = now;
    return true;
}

void server_connection::check_timeouts(time_point now) {
    switch (state_) {
    case state::lingering:
        if (!is_sending(now) && now - last_activity_ >= linger_time) {
            drop();
        }
        return;
    case state::reading:
        check_reading_timeouts(now);
        return;
    case state::responding:
    case state::closed:
        return;
    }
}

void server_connection::check_reading_timeouts(time_point now) {
    const bool is_idle = !is_sending(now) && now - last_activity_ >= server_.limits_.idle_timeout;
    const bool is_head_late = parser_.has_begun() && !parser_.is_head_complete() &&
                              now - request_started_ >= server_.limits_.head_timeout;
    // After the process was suspended, its timers run before its sockets are read.
    if ((!is_idle && !is_head_late) || connection_->has_unread_bytes()) {
        return;
    }
    if (parser_.has_begun()) {
        reject(request_timeout);
    } else {
        drop();
    }
}

void server_connection::close_if_idle(time_point now, micros idle_time) {
    if (state_ == state::reading && !parser_.has_begun() && !is_sending(now) &&
        now - last_activity_ >= idle_time && !connection_->has_unread_bytes()) {
        drop();
    }
}

void server_connection::drop() {
    const auto self = shared_from_this();
    set_reclaimable(false);
    state_ = state::closed;
    connection_->close();
    remove_from_server();
}

void server_connection::do_drained() {
    const auto self = shared_from_this();
    if (exchange_) {
        const auto events = exchange_;
        events->on_drained();
    }
}

void server_connection::do_end(connection_end) {
    const auto self = shared_from_this();
    set_reclaimable(false);
    state_ = state::closed;
    if (const auto events = std::exchange(exchange_, nullptr)) {
        events->on_caller_disconnected();
    }
    remove_from_server();
}

void server_connection::remove_from_server() {
    server_.connections_.erase(shared_from_this());
}

} // namespace jujubetide
