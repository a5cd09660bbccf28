#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
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
    /// Accounts for the body's memory for as long as the answer is kept.
    std::shared_ptr<const void> memory;
};

/// The longest body that `http_call` reads unless told otherwise.
inline constexpr std::size_t default_max_answer_bytes = std::size_t{64} << 20U;

/// A client for one address, without delay of small packets.
std::unique_ptr<httplib::Client> make_http_client(const endpoint& server,
                                                  const http_timeouts& timeouts);

/// Unavailable when the request cannot have reached the server, else DeadlineExceeded.
absl::Status to_status(httplib::Error error);

/// Sends a JSON request and returns the answer, whatever its status. Errors as for `to_status`;
/// DeadlineExceeded also for a body that is too long or that the process has no memory for.
absl::StatusOr<http_answer> http_call(const endpoint& server, const std::string& method,
                                      const std::string& target, const std::string& body,
                                      const http_timeouts& timeouts,
                                      const std::map<std::string, std::string>& headers = {},
                                      std::size_t max_answer_bytes = default_max_answer_bytes);

} // namespace jujubetide
