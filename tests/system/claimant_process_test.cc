// A claimant of an idempotency key that is frozen and thawed, or killed, at each step of its call.
#include "support/eventually.h"
#include "system_fixture.h"

#include "jujubetide/platform/http_table.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace jujubetide;

namespace {

enum class step { between_claim_and_send, during_send, between_send_and_store };

/// Holds calls up at the step.
void hold_up(const system_fixture& system, step at) {
    if (at == step::during_send) {
        for (const auto& service : system.plain) {
            system_fixture::set_faults(*service, R"({"delay_ms": 300})");
        }
        return;
    }
    system_fixture::set_faults(*system.platform, at == step::between_claim_and_send
                                                     ? R"({"slow_ms": 1200})"
                                                     : R"({"slow_ms": 300})");
}

bool is_claimed(const system_fixture& system) {
    http_table rows(parse_endpoint(system.platform->listening()).value());
    const auto claims = rows.scan("idempotency/", "", 1);
    return claims.ok() && !claims->empty();
}

int executions(const system_fixture& system) {
    return system.executions_of_booking("b1");
}

bool has_reached(const system_fixture& system, step at) {
    return at == step::between_send_and_store ? executions(system) == 1 : is_claimed(system);
}

absl::StatusOr<http_answer> book(const system_fixture& system, std::size_t entry) {
    standin_caller caller = system.caller(entry);
    caller.set_header("Idempotency-Key", "k1");
    caller.set_header("X-Deadline-Ms", "3000");
    caller.set_timeout(millis{20'000});
    return caller.call("POST", "/s/berth/book", R"({"booking": "b1"})");
}

} // namespace

TEST_CASE("a claimant frozen or killed at any step leads to no second run") {
    const step at =
        GENERATE(step::between_claim_and_send, step::during_send, step::between_send_and_store);
    const int last_signal = GENERATE(SIGCONT, SIGKILL);
    const system_fixture system(0, 2);
    hold_up(system, at);
    std::thread first([&system] { (void)book(system, 0); });
    if (at == step::between_claim_and_send) {
        // The claim's reply is under way for long; other calls of the table are quick again.
        std::this_thread::sleep_for(millis{300});
        system_fixture::set_faults(*system.platform, R"({"slow_ms": 0})");
    }
    CHECK(eventually([&] { return has_reached(system, at); }, std::chrono::seconds(20)));
    system.entries[0]->signal(SIGSTOP);
    system_fixture::set_faults(*system.platform, R"({"slow_ms": 0})");
    // Until the claim is settled, or its claimant is taken as gone.
    CHECK(eventually([&system] {
        const auto answer = book(system, 1);
        return answer.ok() && answer->status != 409 && answer->status != 503;
    }));
    const auto settled = book(system, 1);
    system.entries[0]->signal(last_signal);
    first.join();
    const auto after = book(system, 1);
    REQUIRE(settled.ok());
    REQUIRE(after.ok());
    CHECK(executions(system) <= 1);
    CHECK((settled->status != 200 || after->body == settled->body));
}
