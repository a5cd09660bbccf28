// A reclaimed engine while the platform is down and its list of hosts lags a minute.
#include "support/eventually.h"
#include "system_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace jujubetide;

namespace {

constexpr std::size_t entry_count = 3;
/// The target: no new work from then on, at any entry.
constexpr millis notice_target{3'000};

void wait_until_met(const system_fixture& system) {
    for (std::size_t i = 0; i < entry_count; ++i) {
        CHECK(eventually([&] {
            const auto answer = http_call(system.entry(i), "GET", "/v1/entries", "", {});
            return answer.ok() && answer->status == 200 &&
                   nlohmann::json::parse(answer->body)["entries"].size() == entry_count;
        }));
    }
}

std::size_t executions_of_first_engine(const system_fixture& system) {
    const auto state = http_call(parse_endpoint(system.engines[0]->listening()).value(), "GET",
                                 "/v1/state", "", {});
    return nlohmann::json::parse(state->body)["executions_by_attempt"].size();
}

/// Executions that the first engine gets from 40 calls at each entry.
std::size_t new_work(const system_fixture& system) {
    constexpr std::size_t calls_of_each_entry = 40;
    const std::size_t before = executions_of_first_engine(system);
    for (std::size_t i = 0; i < calls_of_each_entry * entry_count; ++i) {
        CHECK(system.caller(i % entry_count).whole("chat", "x" + std::to_string(i), 4).whole);
    }
    return executions_of_first_engine(system) - before;
}

void take_platform_down(const system_fixture& system) {
    system_fixture::set_faults(
        *system.platform, R"({"host_list_lag_ms": 60000, "cloud_down": true, "table_down": true})");
}

} // namespace

TEST_CASE("a leaving engine gets no new work while the platform is down and its list lags") {
    const system_fixture system(2, entry_count);
    wait_until_met(system);
    take_platform_down(system);
    CHECK(new_work(system) > 0);
    system_fixture::set_faults(*system.engines[0], R"({"leaving": true})");
    std::this_thread::sleep_for(notice_target);
    CHECK(new_work(system) == 0);
}

TEST_CASE("with the notice on the platform's list alone a leaving engine still gets new work") {
    const system_fixture system(2, entry_count);
    wait_until_met(system);
    take_platform_down(system);
    std::this_thread::sleep_for(notice_target);
    CHECK(new_work(system) > 0);
}
