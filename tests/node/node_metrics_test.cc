#include "node_fixture.h"

#include "jujubetide/base/build_identity.h"
#include "jujubetide/edge/json_log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace jujubetide;

TEST_CASE("metrics count calls by outcome and cause, and retries") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 500, "error"); });
    (void)fixture.call("/often/");
    (void)fixture.call("/nowhere/");
    const std::string text = fixture.tested->metrics_text();
    CHECK(text.find(R"(outcome="call_ended",service="plain")") != std::string::npos);
    CHECK(text.find(R"(cause="no_route",outcome="call_refused")") != std::string::npos);
    CHECK(text.find(R"(jujubetide_failed_attempts_total{outcome="error_answer")") !=
          std::string::npos);
    CHECK(text.find(R"(jujubetide_node{field="servers"} 1)") != std::string::npos);
    CHECK(text.find("jujubetide_call_seconds_bucket") != std::string::npos);
    CHECK(text.find(R"(jujubetide_store_calls_total{kind="read",outcome="ok",table="op"} 1)") !=
          std::string::npos);
}

TEST_CASE("the log and the metrics tell which sources a running node was built from") {
    node_fixture fixture;
    fixture.start();
    const std::string sources(source_identity());
    CHECK(sources.size() == 16);
    CHECK(fixture.tested->metrics_text().find("jujubetide_build_info{sources=\"" + sources) !=
          std::string::npos);
    const auto started = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                      [](const auto& line) { return line.name == "node_started"; });
    REQUIRE(started != fixture.log.lines.end());
    CHECK(started->fields.at("sources") == sources);
}

TEST_CASE("calls meet their latency target while the log pipe is full") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0);
    json_log_options options;
    options.descriptor = ends[1];
    options.max_waiting_bytes = 4'096;
    json_log stalled("n1", fixture.time, options);
    fixture.log.also_to = &stalled;
    constexpr int calls = 300;
    for (int i = 0; i < calls; ++i) {
        const time_point began = fixture.time.now();
        REQUIRE(fixture.call("/often/").head.status == 200);
        CHECK(fixture.time.now() - began < std::chrono::milliseconds(500)); // The route's target.
    }
    CHECK(stalled.dropped() > 0);
    fixture.log.also_to = nullptr;
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("the log line of a failed attempt has its duration") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 500, "error"); });
    (void)fixture.call("/once/");
    const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                   [](const auto& one) { return one.name == "attempt_over"; });
    REQUIRE(line != fixture.log.lines.end());
    CHECK(std::stoll(line->fields.at("ms")) < 2'000); // The route's timeout.
}

TEST_CASE("log lines of attempts and calls name the shared parts of the prompt") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "model", [](scripted_call& call) { call.exchange->abort(); });
    header_list headers;
    headers.add("X-Prompt-Prefix", "aa:10,bb:20,cc:30");
    (void)fixture.call("/stream/", headers);
    const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                   [](const auto& one) { return one.name == "attempt_over"; });
    REQUIRE(line != fixture.log.lines.end());
    CHECK(line->fields.at("parts") == "aa,bb");
    CHECK(line->fields.at("began") == "no");
    CHECK(line->fields.at("server_calls") == "1");
    CHECK(fixture.log.lines.back().fields.at("parts") == "aa,bb");
}
