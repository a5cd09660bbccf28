#include "control/control_server.h"

#include "jujubetide/http/problem.h"

#include <httplib.h>

namespace jujubetide {
namespace {

/// Gives the statuses that the HTTP library sets itself a body.
void explain_status(httplib::Response& response) {
    if (!response.body.empty()) {
        return;
    }
    problem error;
    error.status = response.status;
    error.code = response.status == 404 ? "unknown_path" : "bad_request";
    error.detail = response.status == 413 ? "the body is too large" : "the call is not understood";
    set_problem(response, error);
}

} // namespace

control_server::control_server(const control_parts& parts)
    : parts_(parts), gate_(parts_), settings_(parts_, gate_), moves_(parts_, gate_),
      status_(parts_, gate_) {}

absl::StatusOr<std::unique_ptr<control_server>>
control_server::make(const control_parts& parts, const http_server_options& options) {
    std::unique_ptr<control_server> server(new control_server(parts));
    auto http = http_server::make(
        options, [&server](httplib::Server& routes) { server->add_routes(routes); });
    if (!http.ok()) {
        return http.status();
    }
    server->http_ = *std::move(http);
    return server;
}

void control_server::add_routes(httplib::Server& routes) {
    routes.set_error_handler(
        [](const httplib::Request&, httplib::Response& response) { explain_status(response); });
    routes.set_logger([this](const httplib::Request& request, const httplib::Response& response) {
        metrics_.count_answer(request.method, response.status);
    });
    add_health_routes(routes);
    settings_.add_routes(routes);
    moves_.add_routes(routes);
    status_.add_routes(routes);
}

void control_server::add_health_routes(httplib::Server& routes) {
    routes.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    routes.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool ready = parts_.boards.settings.current() != nullptr;
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "no settings yet\n", "text/plain");
    });
    routes.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics_.text(parts_.boards), "text/plain; version=0.0.4");
    });
}

} // namespace jujubetide
