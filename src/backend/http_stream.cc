// The library reads an answer on the calling thread and offers no wait with a limit, so that the
// receiver's wish to stop while nothing comes is asked for by another thread, which closes the
// connection. That is repeated with each tick: a close before the connection stands has no effect.
#include "backend/http_stream.h"

#include "backend/closable_connection.h"
#include "http/http_request.h"

#include <utility>

namespace jujubetide {

http_stream::http_stream(const endpoint& server, const http_timeouts& timeouts,
                         http_stream_receiver& receiver)
    : receiver_(receiver), connection_(std::make_unique<closable_connection>(server, timeouts)) {}

http_stream::~http_stream() = default;

absl::Status http_stream::call(const std::string& method, const std::string& target,
                               std::string body,
                               const std::map<std::string, std::string>& headers) {
    httplib::Request request = make_request(method, target, std::move(body), headers);
    request.response_handler = [this](const httplib::Response& response) {
        const std::lock_guard lock(mutex_);
        status_ = response.status;
        content_type_ = response.get_header_value("Content-Type");
        stopping_ = stopping_ || !receiver_.on_head(response);
        return !stopping_;
    };
    request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        return take({data, size});
    };
    return to_status(connection_->send(request).error());
}

bool http_stream::take(std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    stopping_ = stopping_ || !receiver_.on_bytes(status_, bytes);
    return !stopping_;
}

void http_stream::tick() {
    const std::lock_guard lock(mutex_);
    stopping_ = stopping_ || !receiver_.on_tick();
    if (stopping_) {
        connection_->close();
    }
}

} // namespace jujubetide
