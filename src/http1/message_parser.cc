#include "jujubetide/http1/message_parser.h"

#include <algorithm>
#include <http_parser.h>
#include <utility>

namespace jujubetide {
namespace {

/// Whether the text begins with the code of a status line.
bool begins_with_code(std::string_view text) {
    constexpr std::size_t digits = 3;
    const std::size_t spaces = std::min(text.find_first_not_of(' '), text.size());
    const std::string_view code = text.substr(spaces, digits);
    return spaces > 0 && code.size() == digits &&
           code.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Whether the text contains the first line of a response.
bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    for (std::size_t at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const std::size_t behind_version = at + version.size() + 1;
        if (behind_version < text.size() && begins_with_code(text.substr(behind_version))) {
            return true;
        }
    }
    return false;
}

} // namespace

struct message_parser::native {
    /// Returned by a callback to make http_parser fail the message.
    static constexpr int malformed = -1;

    http_parser parser{};
    message_parser* owner = nullptr;
    request_head request;
    response_head response;
    std::string name;
    std::string value;
    std::string reason;
    bool value_begun = false;

    static native& from(http_parser* raw_parser) { return *static_cast<native*>(raw_parser->data); }

    void end_field() {
        if (name.empty()) {
            return;
        }
        header_list& headers = owner->kind_ == kind::request ? request.headers : response.headers;
        value.erase(value.find_last_not_of(" \t") + 1);
        headers.add(std::exchange(name, {}), std::exchange(value, {}));
        value_begun = false;
    }

    [[nodiscard]] std::size_t head_size(const header_list& headers) const {
        std::size_t size = request.target.size();
        for (const auto& [field_name, field_value] : headers.fields()) {
            size += field_name.size() + field_value.size();
        }
        return size;
    }

    /// Whether the head has nothing that http_parser accepts although peers may interpret it in
    /// different ways.
    [[nodiscard]] bool is_unambiguous(const header_list& headers) const {
        const auto has_space = [](const header_list::field& field) {
            return field.first.find_first_of(" \t") != std::string::npos;
        };
        const auto encoding = headers.find("Transfer-Encoding");
        return parser.http_major == 1 && (!encoding || is_same_header(*encoding, "chunked")) &&
               std::none_of(headers.fields().begin(), headers.fields().end(), has_space);
    }

    /// Whether a part of a response was read together with the head of the next one.
    [[nodiscard]] bool has_second_head(const header_list& headers) const {
        return contains_status_line(reason) ||
               std::any_of(headers.fields().begin(), headers.fields().end(),
                           [](const auto& field) { return contains_status_line(field.second); });
    }

    int on_head_complete() {
        end_field();
        owner->head_complete_ = true;
        const header_list& headers =
            owner->kind_ == kind::request ? request.headers : response.headers;
        owner->head_memory_ = head_size(headers) + headers.overhead();
        owner->head_too_large_ =
            owner->max_head_bytes_ != 0 && head_size(headers) > owner->max_head_bytes_;
        if (owner->head_too_large_ || !is_unambiguous(headers)) {
            return malformed;
        }
        if (owner->kind_ == kind::request) {
            return emit_request_head();
        }
        return has_second_head(headers) ? malformed : emit_response_head();
    }

    int emit_request_head() {
        request.method = http_method_str(static_cast<http_method>(parser.method));
        request.chunked = (parser.flags & F_CHUNKED) != 0;
        if (!request.chunked && (parser.flags & F_CONTENTLENGTH) != 0) {
            request.content_length = parser.content_length;
        }
        request.keep_alive = http_should_keep_alive(&parser) != 0;
        owner->events_.on_request_head(std::move(request));
        return 0;
    }

    int emit_response_head() {
        constexpr int first_status = 100;
        constexpr int last_status = 599;
        response.status = static_cast<int>(parser.status_code);
        if (response.status < first_status || response.status > last_status) {
            return malformed;
        }
        if ((parser.flags & F_CHUNKED) != 0) {
            response.framing = body_framing::chunked;
        } else if ((parser.flags & F_CONTENTLENGTH) != 0) {
            response.framing = body_framing::length;
            response.content_length = parser.content_length;
        } else if (extends_until_close(&parser)) {
            response.framing = body_framing::until_close;
        }
        response.keep_alive =
            http_should_keep_alive(&parser) != 0 && response.framing != body_framing::until_close;
        owner->events_.on_response_head(std::move(response));
        return 0;
    }

    /// Whether a response without a length extends until the connection is closed.
    static bool extends_until_close(const http_parser* raw_parser) {
        constexpr int informational = 100;
        constexpr int no_content = 204;
        constexpr int not_modified = 304;
        const auto status = static_cast<int>(raw_parser->status_code);
        return status / 100 != informational / 100 && status != no_content &&
               status != not_modified;
    }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_url = [](http_parser* raw_parser, const char* data, std::size_t length) {
                from(raw_parser).request.target.append(data, length);
                return 0;
            };
            result.on_status = [](http_parser* raw_parser, const char* data, std::size_t length) {
                from(raw_parser).reason.append(data, length);
                return 0;
            };
            result.on_header_field = [](http_parser* raw_parser, const char* data,
                                        std::size_t length) {
                native& self = from(raw_parser);
                if (self.owner->head_complete_) {
                    return 0; // Trailer fields are dropped.
                }
                if (self.value_begun) {
                    self.end_field();
                }
                self.name.append(data, length);
                return 0;
            };
            result.on_header_value = [](http_parser* raw_parser, const char* data,
                                        std::size_t length) {
                native& self = from(raw_parser);
                if (!self.owner->head_complete_) {
                    self.value_begun = true;
                    self.value.append(data, length);
                }
                return 0;
            };
            result.on_headers_complete = [](http_parser* raw_parser) {
                return from(raw_parser).on_head_complete();
            };
            result.on_body = [](http_parser* raw_parser, const char* data, std::size_t length) {
                from(raw_parser).owner->events_.on_body({data, length});
                return 0;
            };
            result.on_message_complete = [](http_parser* raw_parser) {
                from(raw_parser).owner->state_ = parse_state::complete;
                http_parser_pause(raw_parser, 1);
                return 0;
            };
            return result;
        }();
        return settings;
    }
};

message_parser::message_parser(kind message_kind, message_events& events,
                               std::size_t max_head_bytes)
    : kind_(message_kind), events_(events), max_head_bytes_(max_head_bytes),
      native_(std::make_unique<native>()) {
    native_->owner = this;
    restart();
}

message_parser::~message_parser() = default;

void message_parser::restart() {
    http_parser_init(&native_->parser, kind_ == kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    native_->parser.data = native_.get();
    native_->request = {};
    native_->response = {};
    native_->name.clear();
    native_->value.clear();
    native_->reason.clear();
    native_->value_begun = false;
    state_ = parse_state::incomplete;
    begun_ = false;
    head_complete_ = false;
    head_too_large_ = false;
    head_bytes_ = 0;
    head_memory_ = 0;
}

std::size_t message_parser::head_memory() const {
    const header_list& headers =
        kind_ == kind::request ? native_->request.headers : native_->response.headers;
    return head_complete_ ? head_memory_ : head_bytes_ + headers.overhead();
}

std::size_t message_parser::feed(std::string_view bytes) {
    if (state_ != parse_state::incomplete || bytes.empty()) {
        return 0;
    }
    // Empty lines before a message are not part of it.
    begun_ = begun_ || bytes.find_first_not_of("\r\n") != std::string_view::npos;
    const bool head_was_complete = head_complete_;
    const std::size_t consumed =
        http_parser_execute(&native_->parser, &native::callbacks(), bytes.data(), bytes.size());
    if (!head_was_complete) {
        head_bytes_ += head_complete_ ? 0 : consumed;
        head_too_large_ =
            head_too_large_ || (max_head_bytes_ != 0 && head_bytes_ > max_head_bytes_);
    }
    const auto error = static_cast<http_errno>(native_->parser.http_errno);
    if (error == HPE_HEADER_OVERFLOW) {
        head_too_large_ = true;
    }
    if (state_ != parse_state::complete && (error != HPE_OK || head_too_large_)) {
        state_ = parse_state::malformed;
    }
    return consumed;
}

void message_parser::feed_eof() {
    if (state_ != parse_state::incomplete) {
        return;
    }
    if (head_complete_) {
        http_parser_execute(&native_->parser, &native::callbacks(), nullptr, 0);
    }
    if (state_ == parse_state::incomplete) {
        state_ = parse_state::malformed;
    }
}

} // namespace jujubetide
