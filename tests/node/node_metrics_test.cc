#include "node_fixture.h"

#include <catch2/catch.hpp>

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
}
