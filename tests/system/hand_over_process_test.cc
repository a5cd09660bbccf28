// Hand-overs between entry processes while the receiving process fails.
#include "standins/standin_answer.h"
#include "support/eventually.h"
#include "system_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jujubetide;

namespace {

constexpr std::size_t entry_count = 3;
constexpr std::uint32_t pieces = 200;

void prepare(const system_fixture& system) {
    for (std::size_t i = 0; i < entry_count; ++i) {
        CHECK(eventually([&] {
            const auto answer = http_call(system.entry(i), "GET", "/v1/entries", "", {});
            return answer.ok() && answer->status == 200 &&
                   nlohmann::json::parse(answer->body)["entries"].size() == entry_count;
        }));
    }
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 50})");
    }
}

/// Whether the entry runs a request to a model service.
bool runs_request(const system_fixture& system, std::size_t index) {
    const auto metrics = http_call(system.entry(index), "GET", "/metrics", "", {});
    return metrics.ok() && metrics->body.find("jujubetide_running_requests 1") != std::string::npos;
}

} // namespace

TEST_CASE("a stop of the receiving entry process during the first hand-over moves the request on") {
    const system_fixture system(2, entry_count);
    prepare(system);
    bool second_stop = false;
    const caller_answer answer =
        system.caller().stream("chat", "twice", pieces, [&](std::size_t count) {
            if (count == 5) {
                system.entries[0]->signal(SIGTERM);
            }
            for (std::size_t i = 1; i < entry_count && !second_stop && count > 5; ++i) {
                if (runs_request(system, i)) {
                    second_stop = true;
                    system.entries[i]->signal(SIGTERM);
                }
            }
            return true;
        });
    CHECK(second_stop);
    CHECK(answer.whole);
    CHECK(answer.moves == 2);
    CHECK(answer.text == standin_answer("twice", pieces));
}

TEST_CASE("a receiving entry process that is frozen and killed partway loses no answer") {
    const system_fixture system(2, entry_count);
    prepare(system);
    // One of the two peers takes the bytes of the offer and never answers.
    const std::size_t frozen = GENERATE(1, 2);
    const caller_answer answer =
        system.caller().stream("chat", "partway", pieces, [&](std::size_t count) {
            if (count == 5) {
                system.entries[frozen]->signal(SIGSTOP);
                system.entries[0]->signal(SIGTERM);
            }
            return true;
        });
    system.entries[frozen]->signal(SIGKILL);
    CHECK(answer.whole);
    CHECK(answer.moves == 1);
    CHECK(answer.text == standin_answer("partway", pieces));
}

TEST_CASE("an entry process killed after it received a request leaves no wrong outcome") {
    const system_fixture system(2, entry_count);
    prepare(system);
    bool killed = false;
    const caller_answer answer =
        system.caller().stream("chat", "lost", pieces, [&](std::size_t count) {
            if (count == 5) {
                system.entries[0]->signal(SIGTERM);
            }
            for (std::size_t i = 1; i < entry_count && !killed && count > 5; ++i) {
                if (runs_request(system, i)) {
                    killed = true;
                    system.entries[i]->signal(SIGKILL);
                }
            }
            return true;
        });
    CHECK(killed);
    // No notice was given of this: the caller knows that the answer broke off, and may ask anew.
    CHECK_FALSE(answer.whole);
    CHECK(answer.outcome != "not_run");
    CHECK(standin_answer("lost", pieces).starts_with(answer.text));
}
