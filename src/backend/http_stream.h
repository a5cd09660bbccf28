#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace jujubetide {

/// A POST whose answer is read piecewise. The connection has a thread of its own, so that the
/// caller can wait for bytes with a limit and stop at any time.
class http_stream {
public:
    /// What came since the last call.
    struct progress {
        std::string bytes;
        bool finished = false;
    };

    http_stream(const endpoint& server, const std::string& target, std::string body,
                const http_timeouts& timeouts);
    /// Closes the connection and waits for the thread.
    ~http_stream();
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Waits up to `limit` for bytes or the end.
    progress wait(millis limit);
    /// The answer's status; 0 while none came.
    [[nodiscard]] int status() const;
    /// OK when the answer ended in good form; meaningful once finished. Errors as for `to_status`.
    [[nodiscard]] absl::Status result() const;

private:
    void run(const std::string& target, std::string body);
    bool receive(const char* data, std::size_t size);

    std::unique_ptr<httplib::Client> client_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string bytes_;
    int status_ = 0;
    bool stopping_ = false;
    bool finished_ = false;
    absl::Status result_;
    std::thread thread_;
};

} // namespace jujubetide
