// A message is a POST whose headers name its kind and its sender; the answer's status header
// carries the code of an absl::Status, and its body the answer or the status's message.
#include "peer/http2_connection.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace jujubetide {
namespace {

constexpr std::string_view kind_header = "jt-kind";
constexpr std::string_view from_header = "jt-from";
constexpr std::string_view status_header = "jt-status";
constexpr std::size_t write_buffer_bytes = 256U << 10U;
constexpr std::size_t frame_header_bytes = 9;
constexpr std::uint32_t window_bytes = 4U << 20U;
constexpr std::uint32_t max_streams = 4096;
/// Of a message without a valid kind header; no handler can be set for it.
constexpr peer_message_kind unknown_kind{0};

nghttp2_nv header(std::string_view name, std::string_view value) {
    // The session copies names and values.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),  // NOLINT
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), // NOLINT
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view text(const std::uint8_t* bytes, std::size_t size) {
    return {reinterpret_cast<const char*>(bytes), size};
}

bool ends_stream(const nghttp2_frame& frame) {
    return (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

} // namespace

struct http2_connection::callbacks {
    static http2_connection& self(void* user) { return *static_cast<http2_connection*>(user); }

    static int begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
        http2_connection& connection = self(user);
        if (!connection.outbound_ && frame->hd.type == NGHTTP2_HEADERS &&
            connection.find(frame->hd.stream_id) == nullptr) {
            auto made = std::make_unique<stream>();
            made->kind = unknown_kind;
            connection.streams_[frame->hd.stream_id] = std::move(made);
        }
        return 0;
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                         std::size_t value_size, std::uint8_t /*flags*/, void* user) {
        stream* at = self(user).find(frame->hd.stream_id);
        if (at == nullptr) {
            return 0;
        }
        const std::string_view key = text(name, name_size);
        const std::string content(text(value, value_size));
        int number = 0;
        if (key == from_header) {
            at->from = node_id(content);
        } else if (key == kind_header && !at->outbound && absl::SimpleAtoi(content, &number) &&
                   number > 0 && number < static_cast<int>(traffic_counters::kinds)) {
            at->kind = static_cast<peer_message_kind>(number);
        } else if (key == status_header && absl::SimpleAtoi(content, &number)) {
            at->status = number;
        }
        return 0;
    }

    static int data_chunk(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t id,
                          const std::uint8_t* data, std::size_t size, void* user) {
        http2_connection& connection = self(user);
        stream* at = connection.find(id);
        if (at == nullptr) {
            return 0;
        }
        if (at->in.size() + size > connection.within_.max_body_bytes) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        at->in.append(text(data, size));
        return 0;
    }

    static int frame_received(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                              void* user) {
        http2_connection& connection = self(user);
        stream* at = connection.find(frame->hd.stream_id);
        if (at == nullptr) {
            return 0;
        }
        connection.counters_.received(at->kind, frame->hd.length + frame_header_bytes);
        const bool carries_message =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries_message && ends_stream(*frame)) {
            connection.on_whole(frame->hd.stream_id, *at);
        }
        return 0;
    }

    static int frame_sent(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
        http2_connection& connection = self(user);
        if (const stream* at = connection.find(frame->hd.stream_id)) {
            connection.counters_.sent(at->kind, frame->hd.length + frame_header_bytes);
        }
        return 0;
    }

    static int stream_closed(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t /*code*/,
                             void* user) {
        self(user).on_closed(id);
        return 0;
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
                             std::size_t size, std::uint32_t* flags,
                             nghttp2_data_source* /*source*/, void* user) {
        stream* at = self(user).find(id);
        if (at == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t count = std::min(size, at->out.size() - at->sent);
        std::memcpy(buffer, at->out.data() + at->sent, count);
        at->sent += count;
        if (at->sent == at->out.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

http2_connection::http2_connection(std::uint64_t id, unique_fd socket, bool outbound, limits within,
                                   connection_listener& listener, traffic_counters& counters)
    : id_(id), socket_(std::move(socket)), outbound_(outbound), within_(within),
      listener_(listener), counters_(counters) {
    make_session();
}

http2_connection::~http2_connection() {
    nghttp2_session_del(session_);
    while (!streams_.empty()) {
        on_closed(streams_.begin()->first);
    }
}

void http2_connection::make_session() {
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_begin_headers_callback(table, callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(table, callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, callbacks::data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, callbacks::frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(table, callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, callbacks::stream_closed);
    if (outbound_) {
        nghttp2_session_client_new(&session_, table, this);
    } else {
        nghttp2_session_server_new(&session_, table, this);
    }
    nghttp2_session_callbacks_del(table);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, window_bytes);
}

http2_connection::stream* http2_connection::find(std::int32_t id) {
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second.get();
}

bool http2_connection::read() {
    constexpr std::size_t chunk_bytes = 64U << 10U;
    std::array<std::uint8_t, chunk_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
    if (count < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (count == 0) {
        return false;
    }
    const ssize_t used =
        nghttp2_session_mem_recv(session_, buffer.data(), static_cast<std::size_t>(count));
    return used >= 0;
}

bool http2_connection::write() {
    while (true) {
        while (out_.size() < write_buffer_bytes) {
            const std::uint8_t* data = nullptr;
            const ssize_t count = nghttp2_session_mem_send(session_, &data);
            if (count < 0) {
                return false;
            }
            if (count == 0) {
                break;
            }
            out_.append(text(data, static_cast<std::size_t>(count)));
        }
        if (out_.empty()) {
            return nghttp2_session_want_read(session_) != 0 ||
                   nghttp2_session_want_write(session_) != 0;
        }
        const ssize_t count =
            ::send(socket_.get(), out_.data() + out_sent_, out_.size() - out_sent_, MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        out_sent_ += static_cast<std::size_t>(count);
        if (out_sent_ < out_.size()) {
            return true;
        }
        out_.clear();
        out_sent_ = 0;
    }
}

bool http2_connection::wants_write() const {
    return !out_.empty() || nghttp2_session_want_write(session_) != 0;
}

nghttp2_data_provider http2_connection::provider() {
    nghttp2_data_provider made{};
    made.read_callback = callbacks::read_body;
    return made;
}

bool http2_connection::submit(const node_id& from, outbound_message message) {
    const std::string kind = std::to_string(static_cast<int>(message.kind));
    const std::array headers{header(":method", "POST"),    header(":scheme", "http"),
                             header(":authority", "peer"), header(":path", "/"),
                             header(kind_header, kind),    header(from_header, from.str())};
    const nghttp2_data_provider body = provider();
    const std::int32_t id =
        nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &body, nullptr);
    if (id < 0) {
        return false;
    }
    auto made = std::make_unique<stream>();
    made->kind = message.kind;
    made->message_bytes = message.body.size();
    made->out = std::move(message.body);
    made->call = std::move(message.call);
    made->outbound = true;
    counters_.message_sent(made->kind);
    streams_[id] = std::move(made);
    return true;
}

void http2_connection::respond(std::int32_t id, const absl::StatusOr<std::string>& answer) {
    stream* at = find(id);
    if (at == nullptr || at->outbound) {
        return;
    }
    at->out = answer.ok() ? *answer : std::string(answer.status().message());
    const std::string status = std::to_string(static_cast<int>(answer.status().code()));
    const std::array headers{header(":status", "200"), header(status_header, status)};
    const std::size_t count = answer.ok() ? 1 : headers.size();
    const nghttp2_data_provider body = provider();
    nghttp2_submit_response(session_, id, headers.data(), count, at->out.empty() ? nullptr : &body);
}

void http2_connection::ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

void http2_connection::drop_abandoned() {
    for (const auto& [id, at] : streams_) {
        if (at->outbound && at->call && at->call->is_abandoned()) {
            nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        }
    }
}

void http2_connection::on_whole(std::int32_t id, stream& at) {
    if (at.outbound) {
        if (at.call && at.status == 0) {
            at.call->finish(std::move(at.in));
        } else if (at.call) {
            at.call->finish(absl::Status(static_cast<absl::StatusCode>(at.status), at.in));
        }
        return;
    }
    if (at.dispatched) {
        return;
    }
    at.dispatched = true;
    counters_.message_received(at.kind);
    listener_.on_request(id_, id, {at.from, at.kind, std::move(at.in)});
}

void http2_connection::on_closed(std::int32_t id) {
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    const std::unique_ptr<stream> at = std::move(found->second);
    streams_.erase(found);
    if (!at->outbound) {
        return;
    }
    if (at->call) {
        at->call->fail();
    }
    listener_.on_outbound_end(id_, at->message_bytes);
}

} // namespace jujubetide
