#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace httplib {
struct Request;  // NOLINT(readability-identifier-naming)
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// The request's JSON body; an empty object where it is none.
nlohmann::json json_body(const httplib::Request& request);
void answer_json(httplib::Response& response, const nlohmann::json& body, int status = 200);
/// Writes `executed NAME` to the error output, in one piece.
void log_execution(const std::string& name);
/// Closes the connection after the headers, so that the client never gets a whole reply.
void answer_broken(httplib::Response& response);
/// Refuses with the problem `code`; `not_run` says that nothing was done.
void answer_problem(httplib::Response& response, int status, const std::string& code, bool not_run);

} // namespace jujubetide
