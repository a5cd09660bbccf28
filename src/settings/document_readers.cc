// The fields of the operators' settings with their types, ranges and defaults. docs/SETTINGS.md
// lists them for operators; a test compares the two.
#include "settings/document_readers.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <set>
#include <utility>

namespace jujubetide {
namespace {

constexpr millis least_duration{1};
constexpr millis most_first_piece_target{600'000};
constexpr millis most_deadline{3'600'000};
constexpr std::int64_t least_body_bytes = 1024;
constexpr std::int64_t most_body_bytes = 64LL << 20;
constexpr std::int64_t most_priority = 100;
constexpr std::int64_t most_running = 4096;
/// Prompt tokens a second.
constexpr double least_prefill_rate = 1.0;
constexpr double most_prefill_rate = 1e7;
constexpr std::int64_t most_price = 1'000'000'000'000;
constexpr double most_retry_percent = 100.0;
constexpr double least_share = 0.001;
constexpr double most_share = 1'000'000.0;
constexpr std::size_t most_prefix_length = 256;
/// Work a second.
constexpr double least_work_rate = 1e-6;
constexpr double most_work_rate = 1e12;
constexpr double least_utilisation = 0.01;
constexpr std::int64_t most_weight_loads = 1000;
constexpr millis most_fleet_duration{86'400'000};

void check_prefix(yaml_reader& reader, const std::string& prefix) {
    const bool well_formed = absl::StartsWith(prefix, "/") && prefix.size() <= most_prefix_length &&
                             !absl::StrContains(prefix, "//") && !absl::StrContains(prefix, "..") &&
                             prefix.find_first_of("?# \t\r\n") == std::string::npos;
    if (!well_formed) {
        reader.add("path_prefix", absl::StrCat("'", prefix, "' is not a path, such as /bookings"));
    }
}

void read_plain_route(yaml_reader& reader, route_settings& route) {
    reader.choice("method", route.method,
                  {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}, presence::optional);
    reader.text("path_prefix", route.path_prefix, presence::optional);
    check_prefix(reader, route.path_prefix);
    reader.boolean("idempotent", route.idempotent, presence::required);
}

// Two routes that match the same calls would make the choice between them arbitrary.
void check_routes(yaml_reader& reader, const service_settings& service) {
    std::set<std::string> ids;
    std::set<std::pair<std::string, std::string>> matches;
    for (const route_settings& route : service.routes) {
        if (!route.id.empty() && !ids.insert(route.id.str()).second) {
            reader.add("routes", absl::StrCat("route id '", route.id.str(), "' stands twice"));
        }
        if (service.kind == service_kind::plain &&
            !matches.emplace(route.method, route.path_prefix).second) {
            reader.add("routes", absl::StrCat("two routes match '", route.method, " ",
                                              route.path_prefix, "'"));
        }
    }
    if (service.routes.empty() && reader.has("routes")) {
        reader.add("routes", "needs at least one route");
    }
}

/// The limits of answers that pass through whole; a model's answer is bounded by its pieces.
void read_answer_limits(yaml_reader& reader, service_settings& service) {
    reader.whole("max_answer_bytes", service.max_answer_bytes, least_body_bytes, most_body_bytes);
    reader.duration("answer_timeout_ms", service.answer_timeout, least_duration, most_deadline);
    for (const char* field : {"max_answer_bytes", "answer_timeout_ms"}) {
        if (service.kind == service_kind::model && reader.has(field)) {
            reader.add(field, "is a limit of plain services, and the service's kind is model");
        }
    }
}

void check_subtree(yaml_reader& reader, const std::string& subtree) {
    const bool well_formed = absl::StartsWith(subtree, "/") && absl::EndsWith(subtree, "/") &&
                             !absl::StrContains(subtree, "//") && !absl::StrContains(subtree, "..");
    if (!well_formed) {
        reader.add("subtrees", absl::StrCat("'", subtree, "' is not a path prefix that begins and ",
                                            "ends with '/', such as /teams/frio/"));
    }
}

} // namespace

route_settings read_route(yaml_reader& reader, service_kind kind) {
    route_settings route;
    reader.id("id", route.id, presence::required);
    reader.whole("priority", route.priority, -most_priority, most_priority);
    if (kind == service_kind::plain) {
        read_plain_route(reader, route);
    } else {
        reader.boolean("idempotent", route.idempotent, presence::optional);
    }
    reader.end();
    return route;
}

service_settings read_service(yaml_reader& reader, const document_path& path) {
    service_settings service;
    service.team = path.team;
    service.id = service_id(path.name);
    std::string kind;
    reader.choice("kind", kind, {"model", "plain"}, presence::required);
    service.kind = kind == "plain" ? service_kind::plain : service_kind::model;
    reader.id("version", service.version, presence::required);
    reader.duration("first_piece_target_ms", service.first_piece_target, least_duration,
                    most_first_piece_target);
    reader.duration("default_deadline_ms", service.default_deadline, least_duration, most_deadline);
    reader.whole("max_body_bytes", service.max_body_bytes, least_body_bytes, most_body_bytes);
    read_answer_limits(reader, service);
    reader.real("retry_percent", service.retry_percent, 0.0, most_retry_percent);
    for (yaml_reader& route : reader.maps("routes", presence::required)) {
        service.routes.push_back(read_route(route, service.kind));
    }
    check_routes(reader, service);
    if (service.first_piece_target > service.default_deadline) {
        reader.add("first_piece_target_ms", "is longer than default_deadline_ms");
    }
    reader.end();
    return service;
}

customer_settings read_customer(yaml_reader& reader, const document_path& path) {
    customer_settings customer;
    customer.team = path.team;
    customer.id = customer_id(path.name);
    reader.key_hash("key_sha256", customer.key_sha256, presence::required);
    reader.real("share", customer.share, least_share, most_share);
    reader.ids("services", customer.services, presence::required);
    reader.end();
    return customer;
}

backend_server_settings read_backend_server(yaml_reader& reader, const document_path& path) {
    backend_server_settings server;
    server.team = path.team;
    server.id = backend_server_id(path.name);
    reader.id("service", server.service, presence::required);
    reader.id("version", server.version, presence::required);
    reader.address("address", server.address, 1, presence::required);
    reader.id("host", server.host, presence::required);
    reader.id("failure_domain", server.failure_domain, presence::required);
    reader.boolean("checks_fencing", server.checks_fencing, presence::optional);
    reader.boolean("reclaimable", server.reclaimable, presence::optional);
    auto price = static_cast<std::int64_t>(server.price.value());
    reader.integer("price_micro", price, 0, most_price, presence::optional);
    server.price = micro_price(static_cast<std::uint64_t>(price));
    reader.whole("max_running", server.max_running, 1, most_running);
    reader.real("prefill_tokens_per_second", server.prefill_tokens_per_second, least_prefill_rate,
                most_prefill_rate);
    reader.end();
    return server;
}

fleet_class_settings read_fleet_class(yaml_reader& reader) {
    fleet_class_settings host_class;
    reader.id("id", host_class.id, presence::required);
    if (!reader.has("work_rate")) {
        reader.add("work_rate", "is missing");
    }
    reader.real("work_rate", host_class.work_rate, least_work_rate, most_work_rate);
    reader.end();
    return host_class;
}

fleet_demand_settings read_fleet_demand(yaml_reader& reader) {
    fleet_demand_settings demand;
    reader.id("service", demand.service, presence::required);
    if (!reader.has("work_rate")) {
        reader.add("work_rate", "is missing");
    }
    reader.real("work_rate", demand.work_rate, 0.0, most_work_rate);
    reader.real("max_utilisation", demand.max_utilisation, least_utilisation, 1.0);
    reader.end();
    return demand;
}

fleet_settings read_fleet(yaml_reader& reader) {
    fleet_settings fleet;
    for (yaml_reader& each : reader.maps("classes", presence::required)) {
        fleet.classes.push_back(read_fleet_class(each));
    }
    for (yaml_reader& each : reader.maps("demands", presence::required)) {
        fleet.demands.push_back(read_fleet_demand(each));
    }
    reader.whole("weight_loads_at_once", fleet.weight_loads_at_once, 1, most_weight_loads);
    reader.duration("start_time_ms", fleet.start_time, millis{0}, most_fleet_duration);
    reader.duration("payback_ms", fleet.payback, least_duration, most_fleet_duration);
    reader.duration("drain_timeout_ms", fleet.drain_timeout, millis{0}, most_fleet_duration);
    reader.end();
    return fleet;
}

operator_settings read_operator(yaml_reader& reader, const document_path& path) {
    operator_settings person;
    person.id = operator_id(path.name);
    reader.key_hash("key_sha256", person.key_sha256, presence::required);
    reader.texts("subtrees", person.subtrees, presence::required);
    for (const std::string& subtree : person.subtrees) {
        check_subtree(reader, subtree);
    }
    reader.end();
    return person;
}

} // namespace jujubetide
