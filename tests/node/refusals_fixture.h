#pragma once

#include "node_fixture.h"
#include "support/repeating_server.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// A request with the attempt's id, whose body is framed as given.
inline std::string named_request(const std::string& attempt, const std::string& path,
                                 body_framing framing = body_framing::length) {
    const std::string body = "body";
    const bool is_chunked = framing == body_framing::chunked;
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt +
           "\r\nAuthorization: Token key\r\n" +
           (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" + serialize_chunk(body) +
                             std::string(last_chunk)
                       : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Statuses that promise that the call has not run and will not.
inline bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A node with repeating servers; a plain call may be sent to two of them if it has not run.
struct refusals_fixture : node_fixture {
    explicit refusals_fixture(const nlohmann::json& route_changes = {
                                  {"once", {{"maxAttempts", 2}}},
                                  {"often", {{"maxAttempts", 2}}}}) {
        start(route_changes);
    }
    repeating_server& add(const std::string& id, const std::string& service = "plain") {
        repeating.push_back(std::make_unique<repeating_server>(loop));
        register_at(repeating.back()->address(), id, service);
        return *repeating.back();
    }
    void register_at(const endpoint& address, const std::string& id, const std::string& service) {
        const int before = log.count("server_seen");
        store.put("servers", id, registration_of_test(service, address));
        REQUIRE(run_until(loop, [&] { return log.count("server_seen") > before; }));
    }
    std::unique_ptr<http1_call> send_as(const std::string& attempt, const std::string& path,
                                        recorded_call& events,
                                        body_framing framing = body_framing::length) {
        call_options options;
        options.max_idle = micros{0};
        return client.call(tested->caller_endpoint(), named_request(attempt, path, framing),
                           options, events);
    }
    recorded_call call_as(const std::string& attempt, const std::string& path,
                          body_framing framing = body_framing::length) {
        recorded_call events;
        const auto running = send_as(attempt, path, events, framing);
        REQUIRE(run_until(loop, [&] { return events.over(); }));
        return events;
    }

    std::vector<std::unique_ptr<repeating_server>> repeating;
};

} // namespace jujubetide
