#include "jujubetide/explain/call_explanation.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

log_record record(std::int64_t at_ms, const std::string& node, const std::string& name,
                  std::map<std::string, std::string> fields) {
    log_record made;
    made.time = wall_time(millis(at_ms));
    made.node = node;
    made.name = name;
    made.fields = std::move(fields);
    return made;
}

log_record ended(std::int64_t at_ms, const std::string& first_event_ms,
                 const std::string& estimate_ms) {
    return record(at_ms, "n1", "call_ended",
                  {{"id", "a"},
                   {"service", "s"},
                   {"server", "i-1"},
                   {"status", "200"},
                   {"cause", "whole"},
                   {"ms", "3000"},
                   {"first_event_ms", first_event_ms},
                   {"estimate_ms", estimate_ms},
                   {"target_ms", "1000"}});
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a log line is parsed and text that a collector put before it is skipped") {
    const auto read = parse_log_line(
        R"(12.5 edge-1 {"t":17,"node":"n1","level":"info","event":7010,"name":"call_ended","id":"a","ms":"5"})");
    REQUIRE(read);
    CHECK(read->time == wall_time(millis(17)));
    CHECK(read->node == "n1");
    CHECK(read->event == 7010);
    CHECK(read->name == "call_ended");
    CHECK(read->field("id") == "a");
    CHECK(read->duration("ms") == millis(5));
    CHECK(read->duration("none") == millis(0));
    CHECK_FALSE(parse_log_line("no object"));
    CHECK_FALSE(parse_log_line("{\"t\":17"));
    CHECK_FALSE(parse_log_line(R"({"t":"soon","name":"x"})"));
    CHECK_FALSE(parse_log_line(R"({"other":"program"})"));
}

TEST_CASE("a refused call is explained by its cause and by the events at its node") {
    const auto call = call_explanation::make(
        "a", {record(1'000, "n1", "table_away", {{"table", "servers"}}),
              record(9'000, "n1", "call_refused",
                     {{"id", "a"}, {"status", "503"}, {"cause", "no_server"}, {"service", "s"}}),
              record(2'000, "n2", "table_away", {{"table", "servers"}}),
              record(8'500, "n1", "call_ended", {{"id", "b"}}),
              record(8'900, "n3", "servers_ordered", {{"service", "s"}}),
              record(8'900, "n3", "servers_ordered", {{"service", "other"}})});
    REQUIRE(call.ok());
    CHECK(contains(call->verdict(), "Refused with 503 at n1 and did not run"));
    CHECK(contains(call->verdict(), "no backend server"));
    REQUIRE(call->related_events().size() == 2);
    CHECK(call->related_events()[0].name == "table_away");
    CHECK(call->related_events()[1].name == "servers_ordered");
}

TEST_CASE("a late answer is distinguished from a timely one, and a predicted wait from an "
          "unexpected one") {
    CHECK_FALSE(
        contains(call_explanation::make("a", {ended(9'000, "800", "700")})->verdict(), "late"));
    const auto unexpected = call_explanation::make("a", {ended(9'000, "2500", "300")});
    CHECK(contains(unexpected->verdict(),
                   "slower than predicted from its load and its earlier answers"));
    const auto predicted = call_explanation::make("a", {ended(9'000, "2500", "2100")});
    CHECK(contains(predicted->verdict(), "the wait was predicted"));
}

TEST_CASE("a broken call is explained by its server's failures in the same period") {
    const auto attempt = [](std::int64_t at_ms, const std::string& id, const std::string& server) {
        return record(at_ms, "n2", "attempt_over",
                      {{"id", id}, {"server", server}, {"outcome", "broken"}});
    };
    const auto call =
        call_explanation::make("a", {attempt(5'000, "b", "i-1"), attempt(5'100, "c", "i-1"),
                                     attempt(5'200, "d", "i-2"), attempt(5'300, "a", "i-1"),
                                     record(5'301, "n1", "call_failed",
                                            {{"id", "a"},
                                             {"server", "i-1"},
                                             {"status", "0"},
                                             {"cause", "broken"},
                                             {"ms", "200"},
                                             {"servers_tried", "1"}}),
                                     record(5'250, "n1", "server_vanished", {{"server", "i-1"}}),
                                     record(5'260, "n1", "server_vanished", {{"server", "i-2"}})});
    REQUIRE(call.ok());
    CHECK(contains(call->verdict(), "Failed at n1 after 200 ms and 1 servers"));
    CHECK(contains(call->verdict(), "Server i-1 failed 2 attempts of other calls"));
    REQUIRE(call->related_events().size() == 1);
    CHECK(call->related_events()[0].field("server") == "i-1");
    CHECK(call->call_records().size() == 2);
}

TEST_CASE("a call without an end and a call missing from all logs are reported as such") {
    const auto open = call_explanation::make(
        "a", {record(5'000, "n1", "attempt_over", {{"id", "a"}, {"outcome", "not_run"}})});
    CHECK(contains(open->verdict(), "No log line records the end of the call"));
    CHECK(absl::IsNotFound(call_explanation::make("z", {ended(1, "1", "1")}).status()));
}
