#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jujubetide {

/// What is sent to a plain service.
struct plain_http_request {
    std::string method = "POST";
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// A call to a plain service whose answer is read piecewise. The connection has a thread of its
/// own, so that the caller can wait for bytes with a limit and stop at any time.
class plain_stream {
public:
    /// What came since the last call.
    struct progress {
        std::string bytes;
        bool finished = false;
    };

    plain_stream(const endpoint& server, plain_http_request request, const http_timeouts& timeouts);
    /// Closes the connection and waits for the thread.
    ~plain_stream();
    plain_stream(const plain_stream&) = delete;
    plain_stream& operator=(const plain_stream&) = delete;

    /// Waits up to `limit` for bytes or the end.
    progress wait(millis limit);
    /// The answer's status; 0 while none came.
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string content_type() const;
    /// OK when the answer ended in good form; meaningful once finished. Errors as for `to_status`.
    [[nodiscard]] absl::Status result() const;

private:
    void run(plain_http_request sent);
    bool receive(const char* data, std::size_t size);

    std::unique_ptr<httplib::Client> client_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string bytes_;
    int status_ = 0;
    std::string content_type_;
    bool stopping_ = false;
    bool finished_ = false;
    absl::Status result_;
    std::thread thread_;
};

} // namespace jujubetide
