// httplib reads an answer on the calling thread and offers no wait with a limit, so that the
// reading runs on a second thread which hands over bytes through a bounded buffer. Closing is
// repeated until that thread has ended: a close between connecting and sending would have no
// effect.
#include "backend/plain_stream.h"

#include <httplib.h>

namespace jujubetide {
namespace {

/// Bytes that wait for the caller before the connection is read no further.
constexpr std::size_t max_waiting_bytes = 1U << 20U;
constexpr millis close_interval{5};

/// A function of its own, so that tools/tsan.supp can name just this call.
[[gnu::noinline]] void close_connection(httplib::Client& client) {
    client.stop();
}

} // namespace

plain_stream::plain_stream(const endpoint& server, plain_http_request request,
                           const http_timeouts& timeouts)
    : client_(make_http_client(server, timeouts)) {
    thread_ = std::thread([this, sent = std::move(request)]() mutable { run(std::move(sent)); });
}

plain_stream::~plain_stream() {
    {
        std::unique_lock lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
        while (!finished_) {
            lock.unlock();
            close_connection(*client_);
            lock.lock();
            changed_.wait_for(lock, close_interval, [this] { return finished_; });
        }
    }
    thread_.join();
}

plain_stream::progress plain_stream::wait(millis limit) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [this] { return finished_ || !bytes_.empty(); });
    progress seen{std::move(bytes_), finished_};
    bytes_.clear();
    changed_.notify_all();
    return seen;
}

int plain_stream::status() const {
    const std::lock_guard lock(mutex_);
    return status_;
}

absl::Status plain_stream::result() const {
    const std::lock_guard lock(mutex_);
    return result_;
}

std::string plain_stream::content_type() const {
    const std::lock_guard lock(mutex_);
    return content_type_;
}

void plain_stream::run(plain_http_request sent) {
    httplib::Request request;
    request.method = std::move(sent.method);
    request.path = std::move(sent.target);
    request.body = std::move(sent.body);
    for (const auto& [name, value] : sent.headers) {
        request.set_header(name, value);
    }
    if (!request.body.empty() && !request.has_header("Content-Type")) {
        request.set_header("Content-Type", "application/json");
    }
    request.response_handler = [this](const httplib::Response& response) {
        const std::lock_guard lock(mutex_);
        status_ = response.status;
        content_type_ = response.get_header_value("Content-Type");
        return !stopping_;
    };
    request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) { return receive(data, size); };
    const httplib::Result result = client_->send(request);
    const std::lock_guard lock(mutex_);
    result_ = to_status(result.error());
    finished_ = true;
    changed_.notify_all();
}

bool plain_stream::receive(const char* data, std::size_t size) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || bytes_.size() < max_waiting_bytes; });
    bytes_.append(data, size);
    changed_.notify_all();
    return !stopping_;
}

} // namespace jujubetide
