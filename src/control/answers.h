#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <string>

namespace httplib {
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

void set_json(httplib::Response& response, const nlohmann::json& body, int status = 200);
/// Fills in the problem for an error; InvalidArgument lists each finding in `findings`.
void set_error(httplib::Response& response, const absl::Status& error);
/// A malformed request.
void set_bad_request(httplib::Response& response, const std::string& detail);

} // namespace jujubetide
