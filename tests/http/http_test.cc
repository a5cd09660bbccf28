#include "jujubetide/http/http_client.h"
#include "jujubetide/http/http_server.h"
#include "jujubetide/http/problem.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

using namespace jujubetide;

TEST_CASE("a problem names its outcome and when to come back") {
    const auto server = http_server::make({}, [](httplib::Server& routes) {
        routes.Get("/full", [](const httplib::Request&, httplib::Response& response) {
            problem error;
            error.status = 503;
            error.code = "no_server";
            error.retry_after = millis{1'200};
            set_problem(response, error);
        });
    });
    REQUIRE(server.ok());
    const auto answer = http_call((*server)->address(), "GET", "/full", "", {});
    REQUIRE(answer.ok());
    CHECK(answer->status == 503);
    CHECK(answer->content_type == "application/problem+json");
    CHECK(answer->headers.at("Retry-After") == "2");
    CHECK(nlohmann::json::parse(answer->body)["outcome"] == "not_run");
}

TEST_CASE("a call to a closed port was certainly not received") {
    endpoint closed;
    {
        const auto server = http_server::make({}, [](httplib::Server&) {});
        REQUIRE(server.ok());
        closed = (*server)->address();
    }
    CHECK(http_call(closed, "GET", "/", "", {}).status().code() == absl::StatusCode::kUnavailable);
}
