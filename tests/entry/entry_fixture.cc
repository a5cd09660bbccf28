#include "entry_fixture.h"

#include "jujubetide/settings/sha256.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

constexpr std::size_t test_threads = 48;

endpoint peer_address(int index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
}

member make_record(int index, const endpoint& address) {
    member record;
    record.node = node_id("entry-" + std::to_string(index));
    record.host = host_id("entry-host-" + std::to_string(index));
    record.failure_domain = failure_domain_id("d" + std::to_string(index));
    record.peer_address = peer_address(index);
    record.public_address = address;
    return record;
}

backend_server_settings make_server(const std::string& service, int index,
                                    const endpoint& address) {
    const std::string number = std::to_string(index);
    backend_server_settings server;
    server.team = team_id("frio");
    server.id = backend_server_id(service + "-" + number);
    server.service = service_id(service);
    server.version = version_id("v1");
    server.address = address;
    server.host = host_id(service + "-host-" + number);
    server.failure_domain = failure_domain_id("d" + number);
    return server;
}

service_settings make_service(const std::string& name, service_kind kind) {
    service_settings service;
    service.team = team_id("frio");
    service.id = service_id(name);
    service.kind = kind;
    service.version = version_id("v1");
    return service;
}

} // namespace

bool wait_until(const std::function<bool()>& holds) {
    constexpr int max_polls = 3'000;
    for (int i = 0; i < max_polls && !holds(); ++i) {
        std::this_thread::sleep_for(millis{10});
    }
    return holds();
}

test_entry::test_entry(peer_hub& hub, int index, const endpoint& platform)
    : peers(hub, peer_address(index)),
      table_(platform, {millis{500}, millis{1'000}, millis{1'000}}),
      facts_(boards, node_id("entry-" + std::to_string(index))) {
    const entry_parts parts{time_,     timers_,  log_,   boards, routes_, limits_, retries_,
                            versions_, engines_, plain_, table_, facts_,  peers};
    entry_options options;
    options.self = {node_id("entry-" + std::to_string(index)),
                    failure_domain_id("d" + std::to_string(index)),
                    {}};
    options.http.threads = test_threads;
    auto made = entry_server::make(parts, options);
    REQUIRE(made.ok());
    server_ = *std::move(made);
    record_ = make_record(index, server_->address());
}

entry_fixture::entry_fixture(int engine_count, int entry_count) {
    auto made_platform = standin_platform::make({});
    REQUIRE(made_platform.ok());
    platform = *std::move(made_platform);
    for (int i = 0; i < engine_count; ++i) {
        auto engine = standin_engine::make({});
        REQUIRE(engine.ok());
        engines.push_back(*std::move(engine));
    }
    for (int i = 0; i < 2; ++i) {
        auto service = standin_plain_service::make({});
        REQUIRE(service.ok());
        plain.push_back(*std::move(service));
    }
    for (int i = 0; i < entry_count; ++i) {
        entries.push_back(std::make_unique<test_entry>(hub, i, platform->address()));
        entries.back()->boards.settings.offer(make_settings());
        entries.back()->server().set_settings_ready();
    }
    for (const auto& entry : entries) {
        for (const auto& other : entries) {
            entry->boards.members.merge(other->record());
        }
    }
}

standin_caller entry_fixture::caller(std::size_t entry) {
    return {entries[entry]->server().address(), key};
}

int entry_fixture::running_engines() const {
    int running = 0;
    for (const auto& engine : engines) {
        running += static_cast<int>(engine->running());
    }
    return running;
}

void entry_fixture::leave_host_of_engine(std::size_t engine) {
    for (const auto& entry : entries) {
        entry->boards.backends.mark_leaving(host_id("chat-host-" + std::to_string(engine)));
    }
}

snapshot_ptr entry_fixture::make_settings() const {
    settings_snapshot::parts parts;
    parts.at = revision(1);
    parts.services = {make_service("chat", service_kind::model),
                      make_service("berth", service_kind::plain)};
    parts.services[1].routes = {{route_id("book"), "POST", "/", false, 0},
                                {route_id("read"), "GET", "/", true, 0}};
    for (std::size_t i = 0; i < engines.size(); ++i) {
        parts.backend_servers.push_back(
            make_server("chat", static_cast<int>(i), engines[i]->address()));
    }
    for (std::size_t i = 0; i < plain.size(); ++i) {
        parts.backend_servers.push_back(
            make_server("berth", static_cast<int>(i), plain[i]->address()));
    }
    customer_settings customer;
    customer.team = team_id("frio");
    customer.id = customer_id("kitchen");
    customer.key_sha256 = sha256_hex(key);
    customer.services = {service_id("chat"), service_id("berth")};
    parts.customers = {customer};
    return settings_snapshot::make(std::move(parts));
}

} // namespace jujubetide
