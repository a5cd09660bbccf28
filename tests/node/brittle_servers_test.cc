// Servers that say that they fall over when they have to reject too many calls.
#include "node_fixture.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

void reject(scripted_call& call, const std::string& brittleness) {
    header_list headers;
    headers.add("X-Attempt-Id", std::string(call.head.headers.find("X-Attempt-Id").value_or("")));
    headers.add("X-Not-Executed", "full");
    headers.add("Server-Brittle", brittleness);
    call.exchange->respond(503, headers, "");
}

} // namespace

TEST_CASE("a brittle server rejects no more calls in a second than it can stand") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "plain", [](scripted_call& call) { reject(call, "2"); });
    const time_point end = fixture.time.now() + std::chrono::seconds(1);
    int sent = 0;
    while (fixture.time.now() < end) {
        const recorded_call got = fixture.call(sent % 2 == 0 ? "/often/" : "/once/");
        CHECK(got.head.status == 503);
        CHECK(got.head.headers.has("Retry-After"));
        ++sent;
        run_for(fixture.loop, millis{20});
    }
    CHECK(sent > 10);
    CHECK(server.calls().size() <= 2);
    CHECK(fixture.log.count("server_brittle") == 1);
}

TEST_CASE("calls go past a brittle server that rejected one to a server with room") {
    node_fixture fixture;
    fixture.start();
    scripted_server& full =
        fixture.add_server("i-1", "plain", [](scripted_call& call) { reject(call, "1"); });
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.call("/often/").head.status == 200);
    }
    CHECK(full.calls().size() <= 1);
}

TEST_CASE("a brittleness that is no number is logged and ignored") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) { reject(call, "much"); });
    fixture.call("/once/");
    CHECK(fixture.log.count("server_brittleness_rejected") == 1);
    CHECK(fixture.log.count("server_brittle") == 0);
}
