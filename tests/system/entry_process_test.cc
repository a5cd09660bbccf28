#include "standins/standin_answer.h"
#include "support/eventually.h"
#include "system_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jujubetide;

TEST_CASE("a streamed completion and a plain call pass through separate processes") {
    const system_fixture system(2, 1);
    const caller_answer streamed = system.caller().stream("chat", "hello", 16);
    CHECK(streamed.whole);
    CHECK(streamed.text == standin_answer("hello", 16));
    const auto booked = system.caller().call("POST", "/s/berth/book", R"({"booking": "b1"})");
    REQUIRE(booked.ok());
    CHECK(booked->status == 200);
    CHECK(system.executions_of_booking("b1") == 1);
}

TEST_CASE("a killed engine's streams go on at another one") {
    const system_fixture system(2, 1);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 20})");
    }
    const caller_answer answer =
        system.caller().stream("chat", "killed", 40, [&system](std::size_t pieces) {
            if (pieces == 5) {
                system.engines[0]->signal(SIGKILL);
            }
            return true;
        });
    CHECK(answer.whole);
    CHECK(answer.text == standin_answer("killed", 40));
}

TEST_CASE("a frozen engine's streams go on at another one") {
    const system_fixture system(2, 1);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 20})");
    }
    const caller_answer answer =
        system.caller().stream("chat", "frozen", 40, [&system](std::size_t pieces) {
            if (pieces == 5) {
                system.engines[0]->signal(SIGSTOP);
            }
            return true;
        });
    CHECK(answer.whole);
    CHECK(answer.text == standin_answer("frozen", 40));
}

TEST_CASE("a claimant that is frozen and thawed, or killed, leads to no second run") {
    system_fixture system(0, 2);
    for (const auto& service : system.plain) {
        system_fixture::set_faults(*service, R"({"delay_ms": 300})");
    }
    const std::string body = R"({"booking": "b1"})";
    const auto book = [&system, &body](std::size_t entry) {
        standin_caller caller = system.caller(entry);
        caller.set_header("Idempotency-Key", "k1");
        caller.set_header("X-Deadline-Ms", "1500");
        caller.set_timeout(millis{20'000});
        return caller.call("POST", "/s/berth/book", body);
    };
    const int last_signal = GENERATE(SIGCONT, SIGKILL);
    std::thread first([&book] { (void)book(0); });
    std::this_thread::sleep_for(millis{100});
    system.entries[0]->signal(SIGSTOP);
    // Until the first claim is settled, or its claimant is taken as gone.
    CHECK(eventually([&book] {
        const auto answer = book(1);
        return answer.ok() && answer->status != 409 && answer->status != 503;
    }));
    system.entries[0]->signal(last_signal);
    first.join();
    (void)book(1);
    CHECK(system.executions_of_booking("b1") <= 1);
}

TEST_CASE("SIGTERM ends an entry after its running answers") {
    const system_fixture system(1, 1);
    system_fixture::set_faults(*system.engines[0], R"({"between_pieces_ms": 20})");
    const caller_answer answer =
        system.caller().stream("chat", "last", 40, [&system](std::size_t pieces) {
            if (pieces == 5) {
                system.entries[0]->signal(SIGTERM);
            }
            return true;
        });
    CHECK(answer.whole);
    CHECK(answer.text == standin_answer("last", 40));
    CHECK(system.entries[0]->wait() == 0);
}

TEST_CASE("bad process settings end the entry with code 2 and an unknown flag with code 1") {
    child_process without_file("jujubetide-entry", {"--settings", "/nonexistent"});
    CHECK(without_file.wait() == 2);
    child_process unknown_flag("jujubetide-entry", {"--colour", "blue"});
    CHECK(unknown_flag.wait() == 1);
}
