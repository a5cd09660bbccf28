#include "standins/standin_plain_service.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace jujubetide {

namespace {

constexpr std::array<std::pair<const char*, plain_fault>, 4> fault_names{
    {{"refuse_not_run", plain_fault::refuse_not_run},
     {"fail", plain_fault::fail},
     {"drop_reply", plain_fault::drop_reply},
     {"close_before_run", plain_fault::close_before_run}}};

int count_of(const std::map<std::string, int>& counts, const std::string& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

absl::StatusOr<std::unique_ptr<standin_plain_service>>
standin_plain_service::make(const standin_plain_options& options) {
    std::unique_ptr<standin_plain_service> service(new standin_plain_service(options));
    http_server_options server_options;
    server_options.listen = options.listen;
    server_options.threads = options.threads;
    server_options.keep_alive = millis{1'000};
    auto server = http_server::make(
        server_options, [&service](httplib::Server& routes) { service->add_routes(routes); });
    if (!server.ok()) {
        return server.status();
    }
    service->server_ = *std::move(server);
    return service;
}

standin_plain_service::~standin_plain_service() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    server_.reset();
}

void standin_plain_service::set_fault(plain_fault fault, int calls) {
    const std::lock_guard lock(mutex_);
    faults_[fault] = calls;
}

void standin_plain_service::set_delay(millis delay) {
    const std::lock_guard lock(mutex_);
    delay_ = delay;
}

int standin_plain_service::executions_of_request(const std::string& request) const {
    const std::lock_guard lock(mutex_);
    return count_of(by_request_, request);
}

int standin_plain_service::executions_of_booking(const std::string& booking) const {
    const std::lock_guard lock(mutex_);
    return count_of(by_booking_, booking);
}

int standin_plain_service::executions() const {
    const std::lock_guard lock(mutex_);
    return executions_;
}

void standin_plain_service::add_routes(httplib::Server& routes) {
    routes.Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        set_faults(json_body(request));
        answer_json(response, nlohmann::json::object());
    });
    routes.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(mutex_);
        answer_json(
            response,
            {{"requests", by_request_}, {"bookings", by_booking_}, {"executions", executions_}});
    });
    const auto any = [this](const httplib::Request& request, httplib::Response& response) {
        run(request, response);
    };
    routes.Get(".*", any).Post(".*", any).Put(".*", any).Patch(".*", any).Delete(".*", any);
}

bool standin_plain_service::take(plain_fault fault) {
    const std::lock_guard lock(mutex_);
    int& calls = faults_[fault];
    if (calls > 0) {
        --calls;
        return true;
    }
    return calls < 0;
}

void standin_plain_service::wait_delay() {
    std::unique_lock lock(mutex_);
    stopped_.wait_for(lock, delay_, [this] { return stopping_; });
}

void standin_plain_service::run(const httplib::Request& request, httplib::Response& response) {
    wait_delay();
    if (take(plain_fault::refuse_not_run)) {
        answer_problem(response, 503, "overloaded", true);
        return;
    }
    if (take(plain_fault::fail)) {
        answer_json(response, {{"error", "internal"}}, 500);
        return;
    }
    if (take(plain_fault::close_before_run)) {
        answer_broken(response);
        return;
    }
    execute(request, response);
    if (take(plain_fault::drop_reply)) {
        response.body.clear();
        answer_broken(response);
    }
}

void standin_plain_service::execute(const httplib::Request& request, httplib::Response& response) {
    const std::string id = request.get_header_value("X-Request-Id");
    const nlohmann::json body = json_body(request);
    const auto booking = body.find("booking");
    const std::string booked =
        booking != body.end() && booking->is_string() ? booking->get<std::string>() : "";
    if (options_.log_executions) {
        log_execution(booked);
        log_execution(id);
    }
    {
        const std::lock_guard lock(mutex_);
        ++executions_;
        ++by_request_[id];
        if (!booked.empty()) {
            ++by_booking_[booked];
        }
    }
    answer_json(response, {{"service", options_.name},
                           {"method", request.method},
                           {"target", request.target},
                           {"request_id", id},
                           {"booking", booked},
                           {"body", request.body}});
}

void standin_plain_service::set_faults(const nlohmann::json& body) {
    for (const auto& [name, fault] : fault_names) {
        if (body.contains(name)) {
            set_fault(fault, body.value(name, 0));
        }
    }
    if (body.contains("delay_ms")) {
        set_delay(millis{body.value("delay_ms", 0)});
    }
}

} // namespace jujubetide
