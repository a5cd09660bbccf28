#pragma once

#include "jujubetide/http/http_client.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jujubetide {

/// Calls the platform and returns its reply with status 200. Errors:
/// - Unavailable: no connection, or the platform says that it applied nothing;
/// - Aborted (409), ResourceExhausted (429), NotFound (404), InvalidArgument (400);
/// - DeadlineExceeded: anything else, since the call may have been applied.
absl::StatusOr<http_answer> platform_call(const endpoint& platform, const std::string& method,
                                          const std::string& target, const std::string& body,
                                          const http_timeouts& timeouts,
                                          const std::string& content_type = "application/json");

/// As `platform_call`, for JSON; DeadlineExceeded where the reply is no JSON.
absl::StatusOr<nlohmann::json>
platform_json_call(const endpoint& platform, const std::string& method, const std::string& target,
                   const nlohmann::json& body, const http_timeouts& timeouts);

/// Runs `read` on a reply; DeadlineExceeded where fields are missing or of the wrong type.
template <class Read>
auto read_reply(const nlohmann::json& reply, Read read) -> absl::StatusOr<decltype(read(reply))> {
    try {
        return read(reply);
    } catch (const nlohmann::json::exception& error) {
        return absl::DeadlineExceededError(error.what());
    }
}

/// Reads a JSON list with `read_item`. Errors as for `platform_json_call`.
template <class ReadItem>
auto platform_list_call(const endpoint& platform, const std::string& target,
                        const http_timeouts& timeouts, ReadItem read_item)
    -> absl::StatusOr<std::vector<decltype(read_item(nlohmann::json()))>> {
    const auto reply = platform_json_call(platform, "GET", target, nullptr, timeouts);
    if (!reply.ok()) {
        return reply.status();
    }
    return read_reply(*reply, [&read_item](const nlohmann::json& list) {
        std::vector<decltype(read_item(list))> items;
        for (const nlohmann::json& item : list) {
            items.push_back(read_item(item));
        }
        return items;
    });
}

} // namespace jujubetide
