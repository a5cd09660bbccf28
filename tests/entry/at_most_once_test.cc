#include "entry_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>

using namespace jujubetide;

namespace {

std::string booking(const std::string& name) {
    return nlohmann::json{{"booking", name}}.dump();
}

int executions(const entry_fixture& system, const std::string& name) {
    int count = 0;
    for (const auto& server : system.plain) {
        count += server->executions_of_booking(name);
    }
    return count;
}

absl::StatusOr<http_answer> book(entry_fixture& system, std::size_t entry, const std::string& name,
                                 const std::string& key) {
    standin_caller caller = system.caller(entry);
    if (!key.empty()) {
        caller.set_header("Idempotency-Key", key);
    }
    return caller.call("POST", "/s/berth/bookings?pier=3", booking(name));
}

std::string outcome_of(const http_answer& answer) {
    return nlohmann::json::parse(answer.body).value("outcome", "");
}

} // namespace

TEST_CASE("a plain call is passed through with its path, query and body") {
    entry_fixture system(0);
    const auto answer = book(system, 0, "b1", "");
    REQUIRE(answer.ok());
    CHECK(answer->status == 200);
    CHECK_THAT(answer->body, Catch::Contains("b1"));
    CHECK(executions(system, "b1") == 1);
}

TEST_CASE("a lost answer to a call that is not idempotent is unknown and not repeated") {
    entry_fixture system(0);
    for (const auto& server : system.plain) {
        server->set_fault(plain_fault::drop_reply);
    }
    const auto answer = book(system, 0, "b1", "");
    REQUIRE(answer.ok());
    CHECK(answer->status == 502);
    CHECK(outcome_of(*answer) == "unknown");
    CHECK(executions(system, "b1") == 1);
}

TEST_CASE("a call that a server did not run goes to another one") {
    entry_fixture system(0);
    for (const auto& server : system.plain) {
        server->set_fault(plain_fault::refuse_not_run, 1);
    }
    const auto answer = book(system, 0, "b1", "");
    REQUIRE(answer.ok());
    CHECK(executions(system, "b1") <= 1);
    if (answer->status != 200) {
        CHECK(outcome_of(*answer) == "not_run");
        CHECK(executions(system, "b1") == 0);
    }
}

TEST_CASE("one key at several entries at once runs once and gives one answer") {
    entry_fixture system(0, 3);
    std::vector<std::thread> callers;
    std::mutex mutex;
    std::vector<http_answer> answers;
    constexpr int call_count = 24;
    callers.reserve(call_count);
    for (int i = 0; i < call_count; ++i) {
        callers.emplace_back([&, i] {
            for (;;) {
                const auto answer = book(system, static_cast<std::size_t>(i) % 3, "b1", "k1");
                const bool again = !answer.ok() || answer->status == 409 ||
                                   (answer->status == 503 && outcome_of(*answer) == "not_run");
                if (!again) {
                    const std::lock_guard lock(mutex);
                    answers.push_back(*answer);
                    return;
                }
                std::this_thread::sleep_for(millis{20});
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(executions(system, "b1") == 1);
    REQUIRE(answers.size() == call_count);
    for (const http_answer& answer : answers) {
        CHECK(answer.status == 200);
        CHECK(answer.body == answers.front().body);
        CHECK(answer.content_type == answers.front().content_type);
    }
}

TEST_CASE("the same key for another call is refused, and for another customer's is its own") {
    entry_fixture system(0);
    REQUIRE(book(system, 0, "b1", "k1")->status == 200);
    const auto other = book(system, 0, "b2", "k1");
    CHECK(other->status == 422);
    CHECK(executions(system, "b2") == 0);
}

TEST_CASE("while the table is down a key is refused at once as not run") {
    entry_fixture system(0);
    system.platform->set_table_down(true);
    const auto answer = book(system, 0, "b1", "k1");
    CHECK(answer->status == 503);
    CHECK(outcome_of(*answer) == "not_run");
    CHECK(answer->headers.count("Retry-After") == 1);
    CHECK(executions(system, "b1") == 0);
    system.platform->set_table_down(false);
    CHECK(book(system, 0, "b1", "k1")->status == 200);
}

TEST_CASE("lost replies of the table leave a call run once and its answer kept") {
    entry_fixture system(0, 2);
    for (int i = 0; i < 8; ++i) {
        const std::string name = "b" + std::to_string(i);
        system.platform->drop_commit_replies(i % 3);
        const auto first = book(system, 0, name, name);
        system.platform->drop_commit_replies(0);
        REQUIRE(first.ok());
        CHECK(first->status == 200);
        const auto second = book(system, 1, name, name);
        CHECK(second->body == first->body);
        CHECK(executions(system, name) == 1);
    }
}

TEST_CASE("an answer that the table did not take is stored when it is back") {
    entry_fixture system(0, 2);
    for (const auto& server : system.plain) {
        server->set_delay(millis{300});
    }
    std::thread outage([&system] {
        (void)wait_until([&system] {
            const auto rows = system.platform->direct_table().scan("idempotency/", "", 1);
            return rows.ok() && !rows->empty();
        });
        system.platform->set_table_down(true);
    });
    const auto first = book(system, 0, "b1", "k1");
    outage.join();
    CHECK(first->status == 200);
    system.platform->set_table_down(false);
    http_answer second;
    CHECK(wait_until([&] {
        second = *book(system, 1, "b1", "k1");
        return second.status == 200;
    }));
    CHECK(second.body == first->body);
    CHECK(executions(system, "b1") == 1);
}

TEST_CASE("the outcome unknown is kept for the key and the call never runs again") {
    entry_fixture system(0, 2);
    for (const auto& server : system.plain) {
        server->set_fault(plain_fault::drop_reply);
    }
    CHECK(outcome_of(*book(system, 0, "b1", "k1")) == "unknown");
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const auto again = book(system, entry, "b1", "k1");
        CHECK(again->status >= 400);
        CHECK(outcome_of(*again) == "unknown");
    }
    CHECK(executions(system, "b1") == 1);
}
