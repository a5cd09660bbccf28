#include "node_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace jujubetide {
namespace {

using json = nlohmann::json;

node_settings settings_of_test() {
    node_settings settings;
    settings.node = node_id("n1");
    settings.failure_domain = failure_domain_id("z1");
    settings.caller_endpoint = {"127.0.0.1", 0};
    settings.peer_endpoint = {"127.0.0.1", 0};
    settings.stop_grace_period = millis{3'000};
    settings.reports_usage = true;
    return settings;
}

json route(const std::string& path, const std::string& kind, const std::string& service,
           int attempts) {
    return {{"name", path},       {"host", "h.example"},     {"prefix", "/" + path + "/"},
            {"kind", kind},       {"timeoutMs", 2'000},      {"targetLatencyMs", 500},
            {"service", service}, {"maxAttempts", attempts}, {"priority", 1},
            {"targetGapMs", 500}};
}

} // namespace

int recorded_log::count(const std::string& name) const {
    return static_cast<int>(std::count_if(lines.begin(), lines.end(),
                                          [&name](const line& one) { return one.name == name; }));
}

void recorded_log::do_write(const log_event& event, std::initializer_list<log_field> fields) {
    line made{std::string(event.name), {}};
    // A field with one of these names would overwrite a field of every line.
    static const std::set<std::string_view> reserved{"t", "node", "level", "event", "name"};
    for (const log_field& field : fields) {
        CHECK_FALSE(reserved.contains(field.name));
        made.fields[std::string(field.name)] = field.value;
    }
    lines.push_back(std::move(made));
    if (also_to != nullptr) {
        also_to->write(event, fields);
    }
}

node_fixture::node_fixture() {
    tested = *node::make(settings_of_test(), {loop, time, log, random, headers, rows,
                                              platform::row_codec::tables(), store, calls});
    tested->start();
}

node_fixture::~node_fixture() {
    tested.reset();
    servers.clear();
}

std::string config_of_test(std::uint64_t version, const json& route_changes) {
    json routes = json::array(
        {route("once", "non_idempotent", "plain", 1), route("often", "idempotent", "plain", 2),
         route("stream", "streaming", "model", 1), route("resumed", "streaming", "model", 2)});
    routes[3]["streamResume"] = true;
    for (json& one : routes) {
        one.update(route_changes.value(one["name"].get<std::string>(), json::object()));
    }
    const json config = {
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", "plain"}, {"healthPath", "/healthz"}},
          {{"name", "model"}, {"engine", {{"slots", 8}, {"kvCacheTokens", 100'000}}}}}},
        {"tenants",
         {{{"name", "c"}, {"apiKeys", {"key"}}, {"unit", "token_count"}, {"plainTokens", 10}},
          {{"name", "small"},
           {"apiKeys", {"small-key"}},
           {"unit", "token_count"},
           {"plainTokens", 10},
           {"ratePerS", 10},
           {"burst", 30}}}}};
    return config.dump();
}

std::string registration_of_test(const std::string& service, const endpoint& address) {
    return json{{"service", service}, {"address", address.str()}, {"zone", "z1"}, {"version", "v1"},
                {"slots", 8},         {"state", "ready"}}
        .dump();
}

std::string request_of_test(const std::string& path, const header_list& headers) {
    header_list all = headers;
    all.add("Host", "h.example");
    if (!headers.has("X-Attempt-Id")) {
        all.add("X-Attempt-Id", "id-1");
    }
    if (!headers.has("Authorization")) {
        all.add("Authorization", "Token key");
    }
    return serialize_request("POST", path, all, "body");
}

void node_fixture::start(const json& route_changes) {
    const int before = log.count("config_in_force");
    store.put("op", "config", config_of_test(config_version++, route_changes));
    run_until(loop, [&] { return log.count("config_in_force") > before; });
}

scripted_server& node_fixture::add_server(const std::string& id, const std::string& service,
                                          scripted_server::script script) {
    servers.push_back(std::make_unique<scripted_server>(loop, time, std::move(script)));
    const int before = log.count("server_seen");
    store.put("servers", id, registration_of_test(service, servers.back()->address()));
    run_until(loop, [&] { return log.count("server_seen") > before; });
    return *servers.back();
}

std::unique_ptr<http1_call> node_fixture::send(const std::string& path, recorded_call& events,
                                               const header_list& more) {
    call_options options;
    options.max_idle = micros{0};
    return client.call(tested->caller_endpoint(), request_of_test(path, more), options, events);
}

recorded_call node_fixture::call(const std::string& path, const header_list& more) {
    recorded_call events;
    const auto running = send(path, events, more);
    run_until(loop, [&] { return events.over(); });
    return events;
}

void answer(scripted_call& call, int status, const std::string& body) {
    header_list headers;
    headers.add("X-Attempt-Id", std::string(call.head.headers.find("X-Attempt-Id").value_or("")));
    headers.add("X-Upstream-Signature", "signed");
    call.exchange->respond(status, headers, body);
}

void begin_events(scripted_call& call, body_framing framing) {
    header_list headers;
    headers.add("X-Attempt-Id", std::string(call.head.headers.find("X-Attempt-Id").value_or("")));
    headers.add("X-Upstream-Signature", "signed");
    headers.add("Content-Type", "text/event-stream");
    call.exchange->begin(200, headers, framing, 0);
}

std::string event_text(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace jujubetide
