#include "standins/standin_plain_service.h"

#include "jujubetide/backend/http_plain_client.h"
#include "jujubetide/edge/thread_timer_service.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <thread>

using namespace jujubetide;

namespace {

std::unique_ptr<standin_plain_service> make_service() {
    auto service = standin_plain_service::make({});
    REQUIRE(service.ok());
    return *std::move(service);
}

plain_request make_request(const std::string& id) {
    return {attempt_id("a-" + id), request_id(id),     "POST",
            "/dispatch?shop=3",    "application/json", R"({"booking": "b-)" + id + "\"}",
            millis{60'000}};
}

} // namespace

TEST_CASE("a plain call arrives whole and once") {
    const auto service = make_service();
    thread_timer_service timers;
    http_plain_client client(timers);
    const plain_result result = client.call(service->address(), make_request("r1"));
    REQUIRE(result.outcome == plain_outcome::answered);
    CHECK(result.status == 200);
    CHECK(result.content_type == "application/json");
    CHECK(result.body.find("/dispatch?shop=3") != std::string::npos);
    CHECK(service->executions_of_request("r1") == 1);
    CHECK(service->executions_of_booking("b-r1") == 1);
}

TEST_CASE("a plain call did not run only when that is certain") {
    const auto service = make_service();
    thread_timer_service timers;
    http_plain_client client(timers);
    const auto outcome_with = [&](plain_fault fault, const std::string& id) {
        service->set_fault(fault);
        return client.call(service->address(), make_request(id)).outcome;
    };
    CHECK(outcome_with(plain_fault::refuse_not_run, "r1") == plain_outcome::not_run);
    CHECK(outcome_with(plain_fault::fail, "r2") == plain_outcome::answered);
    CHECK(outcome_with(plain_fault::close_before_run, "r3") == plain_outcome::unknown);
    CHECK(service->executions() == 0);
    CHECK(outcome_with(plain_fault::drop_reply, "r4") == plain_outcome::unknown);
    CHECK(service->executions_of_booking("b-r4") == 1);

    service->set_delay(millis{2'000});
    plain_request hurried = make_request("r5");
    hurried.time_left = millis{50};
    CHECK(client.call(service->address(), hurried).outcome == plain_outcome::unknown);
    hurried.time_left = millis{0};
    CHECK(client.call(service->address(), hurried).outcome == plain_outcome::not_run);

    endpoint closed;
    { closed = make_service()->address(); }
    CHECK(client.call(closed, make_request("r6")).outcome == plain_outcome::not_run);
}

TEST_CASE("an answer over its limits of size or time is cut off, and the call may have run") {
    const auto server = http_server::make({}, [](httplib::Server& routes) {
        routes.Post("/large", [](const httplib::Request&, httplib::Response& response) {
            response.set_content(std::string(100'000, 'x'), "text/plain");
        });
        routes.Get("/large", [](const httplib::Request&, httplib::Response& response) {
            response.set_content(std::string(100'000, 'x'), "text/plain");
        });
        // A piece comes before each wait for bytes would end, and the answer never ends.
        routes.Post("/endless", [](const httplib::Request&, httplib::Response& response) {
            response.set_chunked_content_provider(
                "text/plain", [](std::size_t, httplib::DataSink& sink) {
                    std::this_thread::sleep_for(millis{5});
                    return sink.is_writable() && sink.write("x", 1);
                });
        });
    });
    REQUIRE(server.ok());
    thread_timer_service timers;
    http_plain_client client(timers);
    plain_request request = make_request("r1");
    request.target = "/large";
    request.max_answer_bytes = 100'000;
    const plain_result whole = client.call((*server)->address(), request);
    CHECK(whole.outcome == plain_outcome::answered);
    CHECK(whole.content_type == "text/plain");
    CHECK(whole.body.size() == 100'000);
    request.max_answer_bytes = 99'999;
    const plain_result cut = client.call((*server)->address(), request);
    CHECK(cut.outcome == plain_outcome::unknown);
    CHECK(cut.answer_too_large);
    CHECK(cut.body.empty());
    // The length in an answer to HEAD is not that of a body.
    request.method = "HEAD";
    CHECK(client.call((*server)->address(), request).outcome == plain_outcome::answered);
    request.method = "POST";

    request.target = "/endless";
    request.time_left = millis{300};
    const plain_result late = client.call((*server)->address(), request);
    CHECK(late.outcome == plain_outcome::unknown);
    CHECK_FALSE(late.answer_too_large);
    CHECK_THAT(late.error, Catch::Contains("300 ms"));
}
