#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace httplib {
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

class closable_connection;

/// Takes an answer as it comes. Never called twice at the same time.
class http_stream_receiver {
public:
    virtual ~http_stream_receiver() = default;
    /// The head of the answer, on the thread that reads. Returns whether to go on.
    bool on_head(const httplib::Response& head) { return do_on_head(head); }
    /// Bytes of the body, on the thread that reads. Returns whether to go on.
    bool on_bytes(int status, std::string_view bytes) { return do_on_bytes(status, bytes); }
    /// Asked now and then, on another thread. Returns whether to go on.
    bool on_tick() { return do_on_tick(); }

protected:
    http_stream_receiver() = default;
    http_stream_receiver(const http_stream_receiver&) = default;
    http_stream_receiver& operator=(const http_stream_receiver&) = default;
    virtual bool do_on_head(const httplib::Response& /*head*/) { return true; }
    virtual bool do_on_bytes(int status, std::string_view bytes) = 0;
    virtual bool do_on_tick() = 0;
};

/// One call whose answer is read piecewise on the calling thread; a second thread asks the receiver
/// now and then whether to go on.
class http_stream {
public:
    http_stream(const endpoint& server, const http_timeouts& timeouts,
                http_stream_receiver& receiver);
    ~http_stream();
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Sends the request and reads until the answer ends or the receiver wants to stop. OK when the
    /// answer ended in good form; errors as for `to_status`.
    absl::Status call(const std::string& method, const std::string& target, std::string body,
                      const std::map<std::string, std::string>& headers = {});
    /// The answer's status, 0 where none came, and its type. Meaningful after `call`.
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] const std::string& content_type() const { return content_type_; }

    /// Asks the receiver, and ends `call` when it wants to stop. Does not wait for the network.
    void tick();

private:
    bool take(std::string_view bytes);

    http_stream_receiver& receiver_;
    std::unique_ptr<closable_connection> connection_;
    /// Guards the receiver and what follows.
    std::mutex mutex_;
    int status_ = 0;
    std::string content_type_;
    bool stopping_ = false;
};

} // namespace jujubetide
