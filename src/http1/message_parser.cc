#include "jujubetide/http1/message_parser.h"

#include <algorithm>
#include <http_parser.h>
#include <utility>

namespace jujubetide {

struct message_parser::native {
    /// What a callback returns to make the message an error.
    static constexpr int malformed = -1;

    http_parser parser{};
    message_parser* owner = nullptr;
    request_head request;
    response_head response;
    std::string name;
    std::string value;
    bool value_begun = false;

    static native& of(http_parser* library) { return *static_cast<native*>(library->data); }

    void end_field() {
        if (name.empty()) {
            return;
        }
        header_list& headers = owner->kind_ == kind::request ? request.headers : response.headers;
        value.erase(value.find_last_not_of(" \t") + 1);
        headers.add(std::exchange(name, {}), std::exchange(value, {}));
        value_begun = false;
    }

    [[nodiscard]] std::size_t size_of(const header_list& headers) const {
        std::size_t size = request.target.size();
        for (const auto& [field_name, field_value] : headers.fields()) {
            size += field_name.size() + field_value.size();
        }
        return size;
    }

    /// What the library lets pass although peers may read it in different ways.
    [[nodiscard]] bool is_clear(const header_list& headers) const {
        const auto has_space = [](const header_list::field& field) {
            return field.first.find_first_of(" \t") != std::string::npos;
        };
        const auto encoding = headers.find("Transfer-Encoding");
        return parser.http_major == 1 && (!encoding || is_same_header(*encoding, "chunked")) &&
               std::none_of(headers.fields().begin(), headers.fields().end(), has_space);
    }

    int head_complete() {
        end_field();
        owner->head_complete_ = true;
        const header_list& headers =
            owner->kind_ == kind::request ? request.headers : response.headers;
        owner->too_large_ =
            owner->max_head_bytes_ != 0 && size_of(headers) > owner->max_head_bytes_;
        if (owner->too_large_ || !is_clear(headers)) {
            return malformed;
        }
        return owner->kind_ == kind::request ? request_complete() : response_complete();
    }

    int request_complete() {
        request.method = http_method_str(static_cast<http_method>(parser.method));
        request.chunked = (parser.flags & F_CHUNKED) != 0;
        if (!request.chunked && (parser.flags & F_CONTENTLENGTH) != 0) {
            request.content_length = parser.content_length;
        }
        request.keep_alive = http_should_keep_alive(&parser) != 0;
        owner->events_.on_request_head(std::move(request));
        return 0;
    }

    int response_complete() {
        response.status = static_cast<int>(parser.status_code);
        if ((parser.flags & F_CHUNKED) != 0) {
            response.framing = body_framing::chunked;
        } else if ((parser.flags & F_CONTENTLENGTH) != 0) {
            response.framing = body_framing::length;
            response.content_length = parser.content_length;
        } else if (lasts_until_close(&parser)) {
            response.framing = body_framing::until_close;
        }
        response.keep_alive =
            http_should_keep_alive(&parser) != 0 && response.framing != body_framing::until_close;
        owner->events_.on_response_head(std::move(response));
        return 0;
    }

    /// Whether a response without a length lasts until the connection is closed.
    static bool lasts_until_close(const http_parser* library) {
        constexpr int informational = 100;
        constexpr int no_content = 204;
        constexpr int not_modified = 304;
        const auto status = static_cast<int>(library->status_code);
        return status / 100 != informational / 100 && status != no_content &&
               status != not_modified;
    }

    static const http_parser_settings& callbacks() {
        static const http_parser_settings settings = [] {
            http_parser_settings made;
            http_parser_settings_init(&made);
            made.on_url = [](http_parser* library, const char* at, std::size_t length) {
                of(library).request.target.append(at, length);
                return 0;
            };
            made.on_header_field = [](http_parser* library, const char* at, std::size_t length) {
                native& self = of(library);
                if (self.owner->head_complete_) {
                    return 0; // A trailer; none is passed on.
                }
                if (self.value_begun) {
                    self.end_field();
                }
                self.name.append(at, length);
                return 0;
            };
            made.on_header_value = [](http_parser* library, const char* at, std::size_t length) {
                native& self = of(library);
                if (!self.owner->head_complete_) {
                    self.value_begun = true;
                    self.value.append(at, length);
                }
                return 0;
            };
            made.on_headers_complete = [](http_parser* library) {
                return of(library).head_complete();
            };
            made.on_body = [](http_parser* library, const char* at, std::size_t length) {
                of(library).owner->events_.on_body({at, length});
                return 0;
            };
            made.on_message_complete = [](http_parser* library) {
                of(library).owner->state_ = parse_state::complete;
                http_parser_pause(library, 1);
                return 0;
            };
            return made;
        }();
        return settings;
    }
};

message_parser::message_parser(kind of, message_events& events, std::size_t max_head_bytes)
    : kind_(of), events_(events), max_head_bytes_(max_head_bytes),
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
    native_->value_begun = false;
    state_ = parse_state::incomplete;
    begun_ = false;
    head_complete_ = false;
    too_large_ = false;
    head_bytes_ = 0;
}

std::size_t message_parser::feed(std::string_view bytes) {
    if (state_ != parse_state::incomplete || bytes.empty()) {
        return 0;
    }
    // Empty lines before a message do not begin it.
    begun_ = begun_ || bytes.find_first_not_of("\r\n") != std::string_view::npos;
    const bool head_was_complete = head_complete_;
    const std::size_t taken =
        http_parser_execute(&native_->parser, &native::callbacks(), bytes.data(), bytes.size());
    if (!head_was_complete) {
        head_bytes_ += head_complete_ ? 0 : taken;
        too_large_ = too_large_ || (max_head_bytes_ != 0 && head_bytes_ > max_head_bytes_);
    }
    const auto error = static_cast<http_errno>(native_->parser.http_errno);
    if (error == HPE_HEADER_OVERFLOW) {
        too_large_ = true;
    }
    if (state_ != parse_state::complete && (error != HPE_OK || too_large_)) {
        state_ = parse_state::malformed;
    }
    return taken;
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
