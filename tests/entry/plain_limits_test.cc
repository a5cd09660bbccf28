#include "entry_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jujubetide;

namespace {

/// Gives the service "berth" these limits at every entry.
void set_limits(entry_fixture& system, std::size_t max_answer_bytes, millis answer_timeout) {
    for (const auto& entry : system.entries) {
        const snapshot_ptr old = entry->boards.settings.current();
        settings_snapshot::parts parts;
        parts.at = old->at().next();
        parts.services = old->services();
        parts.backend_servers = old->backend_servers();
        parts.customers = old->customers();
        for (service_settings& service : parts.services) {
            service.max_answer_bytes = max_answer_bytes;
            service.answer_timeout = answer_timeout;
        }
        entry->boards.settings.offer(settings_snapshot::make(std::move(parts)));
    }
}

http_answer call(entry_fixture& system, const std::string& method, const std::string& body,
                 const std::string& key) {
    auto answer = http_call(system.entries[0]->server().address(), method, "/s/berth/x", body, {},
                            {{"Authorization", "Bearer customer-key"}, {"Idempotency-Key", key}});
    REQUIRE(answer.ok());
    return *answer;
}

int executions(const entry_fixture& system) {
    return system.plain[0]->executions() + system.plain[1]->executions();
}

} // namespace

TEST_CASE("an answer over the service's limit is told as unknown and the call not sent again") {
    entry_fixture system(1);
    set_limits(system, 1'024, millis{60'000});
    const std::string large = "{\"booking\": \"" + std::string(2'000, 'b') + "\"}";
    const http_answer booked = call(system, "POST", large, "key-1");
    CHECK(booked.status == 502);
    CHECK(booked.content_type == "application/problem+json");
    CHECK(nlohmann::json::parse(booked.body)["code"] == "answer_too_large");
    CHECK(nlohmann::json::parse(booked.body)["outcome"] == "unknown");
    CHECK(executions(system) == 1);
    // The claim stays: the same key does not run it a second time.
    const http_answer again = call(system, "POST", large, "key-1");
    CHECK(nlohmann::json::parse(again.body)["outcome"] == "unknown");
    CHECK(executions(system) == 1);

    CHECK(call(system, "POST", R"({"booking": "small"})", "key-2").status == 200);
    CHECK(executions(system) == 2);
}

TEST_CASE("a plain call ends with the service's limit of time though its caller would wait") {
    entry_fixture system(1);
    set_limits(system, 1'024, millis{200});
    for (const auto& service : system.plain) {
        service->set_delay(millis{20'000});
    }
    const http_answer late = call(system, "POST", R"({"booking": "b"})", "key-3");
    CHECK(late.status == 502);
    CHECK(nlohmann::json::parse(late.body)["outcome"] == "unknown");
}
