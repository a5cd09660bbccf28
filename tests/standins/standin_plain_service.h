#pragma once

#include "standins/standin_http.h"

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"
#include "jujubetide/http/http_server.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace jujubetide {

enum class plain_fault {
    /// Answers 503 with a problem whose outcome is `not_run`, without running the call.
    refuse_not_run,
    /// Answers 500 without running the call.
    fail,
    /// Runs the call and closes the connection without a reply.
    drop_reply,
    /// Closes the connection without running the call.
    close_before_run,
};

struct standin_plain_options {
    /// Port 0 takes a free port.
    endpoint listen{"127.0.0.1", 0};
    std::string name = "plain";
    std::size_t threads = 64;
    /// Writes the booking and the request id to the error output for each execution, which outlives
    /// a kill.
    bool log_executions = false;
};

/// A plain service over HTTP. Takes any method and path; counts executions by the header
/// `X-Request-Id` and by the field `booking` of a JSON body, and answers with both and the body.
/// Faults by methods or by `POST /faults` with `{"refuse_not_run": n, "fail": n, "drop_reply": n,
/// "close_before_run": n, "delay_ms": n}`, where n is a number of calls, negative for every call.
/// `GET /counters` answers `{"requests": {...}, "bookings": {...}}`. Thread-safe.
class standin_plain_service {
public:
    static absl::StatusOr<std::unique_ptr<standin_plain_service>>
    make(const standin_plain_options& options);
    ~standin_plain_service();
    standin_plain_service(const standin_plain_service&) = delete;
    standin_plain_service& operator=(const standin_plain_service&) = delete;

    [[nodiscard]] const endpoint& address() const { return server_->address(); }

    /// The fault meets the next `calls` calls; negative for every call.
    void set_fault(plain_fault fault, int calls = 1);
    /// Time between the arrival of a call and its execution.
    void set_delay(millis delay);

    [[nodiscard]] int executions_of_request(const std::string& request) const;
    [[nodiscard]] int executions_of_booking(const std::string& booking) const;
    [[nodiscard]] int executions() const;

private:
    explicit standin_plain_service(const standin_plain_options& options) : options_(options) {}
    void add_routes(httplib::Server& routes);
    void run(const httplib::Request& request, httplib::Response& response);
    void execute(const httplib::Request& request, httplib::Response& response);
    void set_faults(const nlohmann::json& body);
    [[nodiscard]] bool take(plain_fault fault);
    void wait_delay();

    standin_plain_options options_;
    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    millis delay_{0};
    std::map<plain_fault, int> faults_;
    std::map<std::string, int> by_request_;
    std::map<std::string, int> by_booking_;
    int executions_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubetide
