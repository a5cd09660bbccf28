#include "entry/entry_server.h"

#include "entry/entry_events.h"
#include "entry/entry_list.h"
#include "entry/refusals.h"
#include "entry/scoped_count.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace jujubetide {
namespace {

constexpr micros sweep_period{5'000'000};
constexpr millis drain_poll{20};

} // namespace

absl::StatusOr<std::unique_ptr<entry_server>> entry_server::make(const entry_parts& parts,
                                                                 const entry_options& options) {
    std::unique_ptr<entry_server> made(new entry_server(parts, options));
    auto http = http_server::make(options.http,
                                  [&made](httplib::Server& routes) { made->add_routes(routes); });
    if (!http.ok()) {
        return http.status();
    }
    made->http_ = *std::move(http);
    made->options_.self.public_address = made->http_->address();
    return made;
}

entry_server::entry_server(const entry_parts& parts, const entry_options& options)
    : parts_(parts), options_(options), models_(parts_, options_.self, metrics_),
      plain_(parts_, metrics_) {
    parts_.peers.set_handler(peer_message_kind::handover, [this](const peer_message& message) {
        return models_.take_over(message.body, draining_);
    });
    sweep_timer_ = parts_.timers.every(sweep_period, sweep_period,
                                       [this] { models_.requests().sweep(parts_.time.now()); });
}

entry_server::~entry_server() {
    draining_ = true;
    parts_.peers.set_handler(peer_message_kind::handover,
                             [](const peer_message&) -> absl::StatusOr<std::string> {
                                 return absl::UnavailableError("stopped");
                             });
    sweep_timer_.reset();
    for (const auto& request : models_.requests().all()) {
        request->caller_gone();
    }
    http_.reset();
}

void entry_server::begin_drain() {
    if (!draining_.exchange(true)) {
        parts_.log.write(entry_draining, {{"node", options_.self.node.str()}});
        parts_.facts.leaving_self();
    }
}

bool entry_server::drain(millis grace, millis timeout) {
    begin_drain();
    const time_point begin = parts_.time.now();
    const auto all_gone = [this] {
        return models_.requests().running_count() == 0 && models_.open_streams() == 0 &&
               plain_running_ == 0;
    };
    while (!all_gone()) {
        const micros passed = parts_.time.now() - begin;
        if (passed >= timeout) {
            return false;
        }
        if (passed >= grace) {
            for (const auto& request : models_.requests().all()) {
                request->hand_over_soon();
            }
        }
        std::this_thread::sleep_for(drain_poll);
    }
    return true;
}

void entry_server::add_routes(httplib::Server& routes) {
    add_service_routes(routes);
    add_state_routes(routes);
}

void entry_server::add_service_routes(httplib::Server& routes) {
    const auto completion = [this](completion_kind kind) {
        return [this, kind](const httplib::Request& request, httplib::Response& response) {
            complete(kind, request, response);
        };
    };
    routes.Post("/v1/chat/completions", completion(completion_kind::chat));
    routes.Post("/v1/completions", completion(completion_kind::text));
    routes.Get("/v1/requests/([0-9a-f]+)",
               [this](const httplib::Request& request, httplib::Response& response) {
                   models_.reconnect(request_id(request.matches[1]), request, response);
               });
    const std::string plain_path = "/s/([^/?]+)(/.*)?";
    const auto plain = [this](const httplib::Request& request, httplib::Response& response) {
        pass_through(request, response);
    };
    routes.Get(plain_path, plain);
    routes.Post(plain_path, plain);
    routes.Put(plain_path, plain);
    routes.Patch(plain_path, plain);
    routes.Delete(plain_path, plain);
    routes.Options(plain_path, plain);
}

void entry_server::add_state_routes(httplib::Server& routes) {
    routes.Get("/v1/entries", [this](const httplib::Request& request, httplib::Response& response) {
        list_entries(request, response);
    });
    routes.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    routes.Get("/readyz", [this](const httplib::Request& request, httplib::Response& response) {
        if (draining_) {
            set_problem(response, draining_refusal(other_entries(request.remote_addr)));
        } else if (!has_settings()) {
            set_problem(response, not_ready_refusal());
        } else {
            response.set_content("ready\n", "text/plain");
        }
    });
    routes.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics_text(), "text/plain; version=0.0.4");
    });
}

bool entry_server::has_settings() const {
    const snapshot_ptr settings = parts_.boards.settings.current();
    return settings_ready_ && settings != nullptr && !settings->services().empty();
}

std::optional<caller_context> entry_server::accept(const httplib::Request& request,
                                                   httplib::Response& response) {
    if (draining_) {
        set_problem(response, draining_refusal(other_entries(request.remote_addr)));
        return std::nullopt;
    }
    if (!has_settings()) {
        set_problem(response, not_ready_refusal());
        return std::nullopt;
    }
    auto caller = read_caller(request, parts_.boards.settings.current(), parts_.time.now());
    if (const auto* error = std::get_if<problem>(&caller)) {
        set_problem(response, *error);
        return std::nullopt;
    }
    return std::get<caller_context>(std::move(caller));
}

void entry_server::complete(completion_kind kind, const httplib::Request& request,
                            httplib::Response& response) {
    if (const auto caller = accept(request, response)) {
        set_request_id(response, caller->caller_request_id);
        models_.complete(*caller, kind, request, response);
    }
}

void entry_server::pass_through(const httplib::Request& request, httplib::Response& response) {
    const scoped_count running(plain_running_);
    const auto caller = accept(request, response);
    if (!caller) {
        return;
    }
    // The raw target keeps the query and the caller's percent-encoding.
    const service_id service(request.matches[1]);
    const std::size_t root = std::string("/s/").size() + service.str().size();
    std::string target = request.target.substr(std::min(root, request.target.size()));
    if (!target.starts_with('/')) {
        target.insert(0, "/");
    }
    plain_.call(*caller, service, target, request, response);
}

void entry_server::list_entries(const httplib::Request& request,
                                httplib::Response& response) const {
    nlohmann::json entries = nlohmann::json::array();
    for (const member& one :
         entries_for(parts_.boards.members, options_.self, request.remote_addr)) {
        entries.push_back(
            {{"address", one.public_address.str()}, {"failure_domain", one.failure_domain.str()}});
    }
    const nlohmann::json body{{"entries", std::move(entries)},
                              {"lifetime_ms", options_.entries_lifetime.count()}};
    response.set_content(body.dump(), "application/json");
}

std::vector<std::string> entry_server::other_entries(const std::string& caller_address) const {
    std::vector<std::string> addresses;
    for (const member& one : entries_for(parts_.boards.members, options_.self, caller_address)) {
        if (one.node != options_.self.node) {
            addresses.push_back(one.public_address.str());
        }
    }
    return addresses;
}

std::string entry_server::metrics_text() {
    metrics_.set_running(models_.requests().running_count());
    return metrics_.text(parts_.boards, parts_.peers);
}

} // namespace jujubetide
