#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <string>

namespace httplib {
class Client;     // NOLINT(readability-identifier-naming)
enum class Error; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

struct http_timeouts {
    millis connect{1'000};
    millis read{5'000};
    millis write{5'000};
};

struct http_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// A client for one address, without delay of small packets.
std::unique_ptr<httplib::Client> make_http_client(const endpoint& server,
                                                  const http_timeouts& timeouts);

/// Unavailable when the request cannot have reached the server, else DeadlineExceeded.
absl::Status to_status(httplib::Error error);

/// Sends a JSON request and returns the answer, whatever its status. Errors as for `to_status`.
absl::StatusOr<http_answer> http_call(const endpoint& server, const std::string& method,
                                      const std::string& target, const std::string& body,
                                      const http_timeouts& timeouts,
                                      const std::map<std::string, std::string>& headers = {});

} // namespace jujubetide
