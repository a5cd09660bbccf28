#include "standins/standin_http.h"

#include "jujubetide/http/problem.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace jujubetide {

nlohmann::json json_body(const httplib::Request& request) {
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

void answer_json(httplib::Response& response, const nlohmann::json& body, int status) {
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
}

void answer_broken(httplib::Response& response) {
    response.status = 200;
    response.set_content_provider(
        1, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void log_execution(const std::string& name) {
    std::cerr << "executed " + name + "\n";
}

void answer_problem(httplib::Response& response, int status, const std::string& code,
                    bool not_run) {
    problem error;
    error.status = status;
    error.code = code;
    error.outcome = not_run ? run_outcome::not_run : run_outcome::unknown;
    set_problem(response, error);
}

} // namespace jujubetide
