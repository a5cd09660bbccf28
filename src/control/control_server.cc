#include "control/control_server.h"

#include "jujubetide/http/problem.h"

#include <httplib.h>

namespace jujubetide {
namespace {

void refuse_unready(httplib::Response& response) {
    problem error;
    error.status = 503;
    error.code = "no_settings_yet";
    error.detail = "this process has not read the settings yet";
    set_problem(response, error);
}

} // namespace

control_server::control_server(const control_parts& parts, const peer_link* peers)
    : parts_(parts), peers_(peers), gate_(parts_), settings_(parts_, gate_), moves_(parts_, gate_),
      status_(parts_, gate_) {}

absl::StatusOr<std::unique_ptr<control_server>>
control_server::make(const control_parts& parts, const http_server_options& options,
                     const peer_link* peers) {
    std::unique_ptr<control_server> server(new control_server(parts, peers));
    http_server_options counted = options;
    counted.on_answer = [&metrics = server->metrics_](const std::string& method, int status,
                                                      micros latency) {
        metrics.count_answer(method, status);
        metrics.observe_answer(method, latency);
    };
    auto http = http_server::make(
        counted, [&server](httplib::Server& routes) { server->add_routes(routes); });
    if (!http.ok()) {
        return http.status();
    }
    server->http_ = *std::move(http);
    return server;
}

void control_server::add_routes(httplib::Server& routes) {
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
        if (parts_.boards.settings.current() == nullptr) {
            return refuse_unready(response);
        }
        response.set_content("ready\n", "text/plain");
    });
    routes.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics_.text(parts_.boards, peers_), "text/plain; version=0.0.4");
    });
}

} // namespace jujubetide
