#include "standins/standin_platform.h"

#include <absl/strings/escaping.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace jujubetide {

namespace {

constexpr std::size_t server_threads = 64;
constexpr std::size_t max_object_bytes = 64U << 20U;

nlohmann::json to_json(const table_row& row) {
    return {{"key", row.key},
            {"value_base64", absl::Base64Escape(row.value)},
            {"version", row.version.value()}};
}

nlohmann::json to_json(const listed_host& host) {
    return {{"host", host.host.str()},
            {"failure_domain", host.failure_domain.str()},
            {"host_class", host.host_class.str()},
            {"reclaimable", host.reclaimable},
            {"leaving", host.leaving}};
}

nlohmann::json to_json(const host_price& price) {
    return {{"host_class", price.host_class.str()},
            {"failure_domain", price.failure_domain.str()},
            {"reclaimable", price.reclaimable},
            {"micro_price", price.price.value()}};
}

nlohmann::json to_json(const reclaim_notice& notice) {
    return {{"host", notice.host.str()},
            {"failure_domain", notice.failure_domain.str()},
            {"time_left_ms", notice.time_left.count()}};
}

template <class Value>
void answer_list(httplib::Response& response, const absl::StatusOr<std::vector<Value>>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (const Value& value : *values) {
        list.push_back(to_json(value));
    }
    answer_json(response, list);
}

table_transaction read_transaction(const nlohmann::json& body) {
    table_transaction transaction;
    for (const auto& condition : body.value("conditions", nlohmann::json::array())) {
        transaction.conditions.push_back(
            {condition.at("key"), row_version(condition.at("version").get<std::uint64_t>())});
    }
    for (const auto& write : body.value("writes", nlohmann::json::array())) {
        row_write row{write.at("key"), std::nullopt};
        if (write.contains("value_base64")) {
            row.value.emplace();
            absl::Base64Unescape(write.at("value_base64").get<std::string>(), &*row.value);
        }
        transaction.writes.push_back(std::move(row));
    }
    return transaction;
}

listed_host read_host(const nlohmann::json& body) {
    return {host_id(body.at("host").get<std::string>()),
            failure_domain_id(body.value("failure_domain", "")),
            host_class_id(body.value("host_class", "")), body.value("reclaimable", true), false};
}

} // namespace

absl::StatusOr<std::unique_ptr<standin_platform>>
standin_platform::make(const standin_platform_options& options) {
    std::unique_ptr<standin_platform> platform(new standin_platform(options));
    http_server_options server_options;
    server_options.listen = options.listen;
    server_options.threads = server_threads;
    server_options.max_body_bytes = max_object_bytes;
    server_options.keep_alive = millis{1'000};
    auto server = http_server::make(
        server_options, [&platform](httplib::Server& routes) { platform->add_routes(routes); });
    if (!server.ok()) {
        return server.status();
    }
    platform->server_ = *std::move(server);
    return platform;
}

standin_platform::standin_platform(const standin_platform_options& options) : cloud_(clock_) {
    for (const listed_host& host : options.hosts) {
        cloud_.add_host(host);
    }
    cloud_.set_prices(options.prices);
}

standin_platform::~standin_platform() {
    {
        const std::lock_guard lock(stop_mutex_);
        stopping_ = true;
    }
    stop_changed_.notify_all();
    server_.reset();
}

void standin_platform::add_routes(httplib::Server& routes) {
    add_table_routes(routes);
    add_object_routes(routes);
    add_cloud_routes(routes);
    add_control_routes(routes);
}

bool standin_platform::table_serves(httplib::Response& response) {
    if (table_down_) {
        answer_problem(response, 503, "table_down", true);
        return false;
    }
    if (const millis delay{slow_.load()}; delay > millis{0}) {
        std::unique_lock lock(stop_mutex_);
        stop_changed_.wait_for(lock, delay, [this] { return stopping_; });
    }
    return true;
}

bool standin_platform::cloud_serves(httplib::Response& response) const {
    if (cloud_down_) {
        answer_problem(response, 503, "cloud_down", true);
        return false;
    }
    return true;
}

void standin_platform::add_table_routes(httplib::Server& routes) {
    const auto post = [this, &routes](const char* path, auto method) {
        routes.Post(path,
                    [this, method](const httplib::Request& request, httplib::Response& response) {
                        if (table_serves(response)) {
                            (this->*method)(json_body(request), response);
                        }
                    });
    };
    post("/v1/table/get", &standin_platform::get);
    post("/v1/table/scan", &standin_platform::scan);
    post("/v1/table/commit", &standin_platform::commit);
}

void standin_platform::get(const nlohmann::json& body, httplib::Response& response) {
    const auto row = table_.get(body.value("key", ""));
    nlohmann::json answer = nlohmann::json::object();
    if (*row) {
        answer["row"] = to_json(**row);
    }
    answer_json(response, answer);
}

void standin_platform::scan(const nlohmann::json& body, httplib::Response& response) {
    answer_list(response, table_.scan(body.value("prefix", ""), body.value("after", ""),
                                      body.value("limit", std::size_t{100})));
}

void standin_platform::commit(const nlohmann::json& body, httplib::Response& response) {
    const auto version = table_.commit(read_transaction(body));
    if (!version.ok()) {
        answer_json(response, {{"detail", std::string(version.status().message())}}, 409);
        return;
    }
    if (take_dropped_reply()) {
        answer_broken(response);
        return;
    }
    answer_json(response, {{"version", version->value()}});
}

bool standin_platform::take_dropped_reply() {
    int left = drop_commit_replies_.load();
    while (left > 0 && !drop_commit_replies_.compare_exchange_weak(left, left - 1)) {
    }
    return left > 0;
}

void standin_platform::add_object_routes(httplib::Server& routes) {
    routes.Put(R"(/v1/objects/(.+))",
               [this](const httplib::Request& request, httplib::Response& response) {
                   if (!table_serves(response)) {
                       return;
                   }
                   table_transaction put;
                   put.writes.push_back({request.matches[1], request.body});
                   answer_json(response, {{"version", objects_.commit(put)->value()}});
               });
    routes.Get(R"(/v1/objects/(.+))",
               [this](const httplib::Request& request, httplib::Response& response) {
                   if (!table_serves(response)) {
                       return;
                   }
                   const auto row = objects_.get(request.matches[1]);
                   if (!*row) {
                       answer_problem(response, 404, "no_object", true);
                       return;
                   }
                   response.set_content((*row)->value, "application/octet-stream");
               });
}

void standin_platform::start(const nlohmann::json& body, httplib::Response& response) {
    const auto host = cloud_.start(
        {body.value("start_id", ""), host_class_id(body.value("host_class", "")),
         failure_domain_id(body.value("failure_domain", "")), body.value("reclaimable", false)});
    if (!host.ok()) {
        answer_problem(response, 429, "start_refused", true);
        return;
    }
    answer_json(response, {{"host", host->str()}});
}

void standin_platform::add_cloud_routes(httplib::Server& routes) {
    routes.Post("/v1/cloud/start",
                [this](const httplib::Request& request, httplib::Response& response) {
                    if (cloud_serves(response)) {
                        start(json_body(request), response);
                    }
                });
    routes.Post("/v1/cloud/stop",
                [this](const httplib::Request& request, httplib::Response& response) {
                    if (cloud_serves(response)) {
                        cloud_.stop(host_id(json_body(request).value("host", ""))).IgnoreError();
                        answer_json(response, nlohmann::json::object());
                    }
                });
    const auto get_list = [this, &routes](const char* path, auto read) {
        routes.Get(path, [this, read](const httplib::Request&, httplib::Response& response) {
            if (cloud_serves(response)) {
                answer_list(response, read());
            }
        });
    };
    get_list("/v1/cloud/reclaim_notices", [this] { return cloud_.reclaim_notices(); });
    get_list("/v1/cloud/prices", [this] { return cloud_.prices(); });
    get_list("/v1/hosts", [this] { return cloud_.list(); });
}

void standin_platform::add_control_routes(httplib::Server& routes) {
    routes.Post("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        set_faults(json_body(request));
        answer_json(response, nlohmann::json::object());
    });
    routes.Post("/hosts", [this](const httplib::Request& request, httplib::Response& response) {
        cloud_.add_host(read_host(json_body(request)));
        answer_json(response, nlohmann::json::object());
    });
    routes.Post("/reclaim", [this](const httplib::Request& request, httplib::Response& response) {
        const nlohmann::json body = json_body(request);
        const millis time_left{body.value("ms", 30'000)};
        if (body.contains("host")) {
            reclaim_host(host_id(body.value("host", "")), time_left);
        } else {
            reclaim_domain(failure_domain_id(body.value("failure_domain", "")), time_left);
        }
        answer_json(response, nlohmann::json::object());
    });
    routes.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        answer_json(response, {{"table_reads", table_.reads()},
                               {"table_writes", table_.writes()},
                               {"object_reads", objects_.reads()},
                               {"object_writes", objects_.writes()}});
    });
}

void standin_platform::set_faults(const nlohmann::json& body) {
    set_table_down(body.value("table_down", table_down_.load()));
    set_cloud_down(body.value("cloud_down", cloud_down_.load()));
    set_slow(millis{body.value("slow_ms", slow_.load())});
    drop_commit_replies(body.value("drop_commit_replies", drop_commit_replies_.load()));
    if (body.contains("host_list_lag_ms")) {
        set_host_list_lag(millis{body.value("host_list_lag_ms", 0)});
    }
    if (body.contains("refuse_starts")) {
        set_refuse_starts(body.value("refuse_starts", false));
    }
}

} // namespace jujubetide
