#include "node_fixture.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

void refuse_not_run(scripted_call& call) {
    header_list headers;
    headers.add("X-Not-Executed", "1");
    call.exchange->respond(503, headers, "");
}

void abort_mid_response(scripted_call& call) {
    call.exchange->begin(200, {}, body_framing::length, 100);
    call.exchange->abort();
}

} // namespace

TEST_CASE("a call and its response are forwarded unchanged") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server = fixture.add_server(
        "i-1", "plain", [](scripted_call& call) { answer(call, 200, "the answer"); });
    const recorded_call got = fixture.call("/once/a%2Fb?x=1");
    CHECK(got.head.status == 200);
    CHECK(got.body == "the answer");
    CHECK(got.head.headers.has("X-Upstream-Signature"));
    REQUIRE(server.calls().size() == 1);
    const scripted_call& sent = *server.calls()[0];
    CHECK(sent.head.method == "POST");
    CHECK(sent.head.target == "/once/a%2Fb?x=1");
    CHECK(sent.body == "body");
    CHECK(sent.head.headers.find("X-Tenant") == "c");
    CHECK(sent.head.headers.find("X-Expect-Instance") == "i-1");
    CHECK_FALSE(sent.head.headers.has("Authorization"));
}

TEST_CASE("a non-idempotent call is not retried after it may have run") {
    node_fixture fixture;
    fixture.start();
    scripted_server& first = fixture.add_server("i-1", "plain", abort_mid_response);
    scripted_server& second = fixture.add_server("i-2", "plain", abort_mid_response);
    CHECK(fixture.call("/once/").head.status == 502);
    CHECK(first.calls().size() + second.calls().size() == 1);
}

TEST_CASE("an idempotent call is retried at another server") {
    node_fixture fixture;
    fixture.start();
    const auto bad = GENERATE(
        as<scripted_server::script>(), abort_mid_response, refuse_not_run,
        [](scripted_call& call) { answer(call, 500, "error"); },
        [](scripted_call& call) { call.exchange->respond(200, {}, "forged"); });
    fixture.add_server("i-1", "plain", bad);
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "good"); });
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.call("/often/").body == "good");
    }
}

TEST_CASE("a call that no server ran gets a 503 with Retry-After") {
    node_fixture fixture;
    fixture.start();
    SECTION("no server") {}
    SECTION("a server that says so") {
        fixture.add_server("i-1", "plain", refuse_not_run);
    }
    const recorded_call got = fixture.call("/once/");
    CHECK(got.head.status == 503);
    CHECK(got.head.headers.has("Retry-After"));
    CHECK(got.head.headers.find("X-Attempt-Id") == "id-1");
}

TEST_CASE("a server's 503 without the not-executed header is answered with 502") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 503, "busy"); });
    CHECK(fixture.call("/once/").head.status == 502);
}

TEST_CASE("a 421 for an address that now belongs to another server uses up no attempt") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain",
                       [](scripted_call& call) { call.exchange->respond(421, {}, ""); });
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "good"); });
    for (int i = 0; i < 3; ++i) {
        CHECK(fixture.call("/once/").body == "good");
    }
}

TEST_CASE("a response to another call is not forwarded") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) {
        header_list headers;
        headers.add("X-Attempt-Id", "id-of-another");
        headers.add("X-Upstream-Signature", "signed");
        call.exchange->respond(200, headers, "somebody else's");
    });
    const recorded_call got = fixture.call("/once/");
    CHECK(got.head.status == 504);
    CHECK(got.body.find("somebody") == std::string::npos);
}

TEST_CASE("a call ends when the route's timeout expires") {
    node_fixture fixture;
    fixture.start({{"once", {{"timeoutMs", 200}}}});
    scripted_server& server = fixture.add_server("i-1", "plain", [](scripted_call&) {});
    const time_point begin = fixture.time.now();
    CHECK(fixture.call("/once/").head.status == 504);
    CHECK(fixture.time.now() - begin < millis{600});
    CHECK(run_until(fixture.loop, [&] { return server.calls()[0]->caller_gone; }));
}

TEST_CASE("a call is cancelled at its server when the caller disconnects") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server = fixture.add_server("i-1", "plain", [](scripted_call&) {});
    recorded_call events;
    auto running = fixture.send("/once/", events);
    REQUIRE(run_until(fixture.loop, [&] { return server.calls().size() == 1; }));
    running.reset();
    CHECK(run_until(
        fixture.loop, [&] { return server.calls()[0]->caller_gone; }, std::chrono::seconds(1)));
}

TEST_CASE("invalid requests are refused without reaching a server") {
    node_fixture fixture;
    CHECK(fixture.call("/once/").head.status == 503); // No configuration yet.
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    CHECK(fixture.call("/nowhere/").head.status == 404);
    header_list stranger;
    stranger.add("Authorization", "Token unknown");
    CHECK(fixture.call("/once/", stranger).head.status == 401);
    header_list malformed;
    malformed.add("X-Token-Usage", "many");
    CHECK(fixture.call("/once/", malformed).head.status == 400);
    CHECK(server.calls().empty());
    header_list small;
    small.add("Authorization", "Token small-key");
    CHECK(fixture.call("/once/", small).head.status == 200);
    CHECK(fixture.call("/once/", small).head.status == 429);
    CHECK(server.calls().size() == 1);
}

TEST_CASE("an older configuration does not replace a newer one") {
    node_fixture fixture;
    fixture.config_version = 9;
    fixture.start();
    fixture.config_version = 5;
    fixture.store.put("op", "config", R"({"version":5,"routes":[],"services":[]})");
    run_for(fixture.loop, millis{400});
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    CHECK(fixture.call("/once/").head.status == 200);
}

TEST_CASE("malformed rows are skipped and the others are applied") {
    node_fixture fixture;
    fixture.start();
    fixture.store.put("servers", "i-bad", R"({"service":5})");
    fixture.store.put("servers", "i-worse", "\xff\xfe");
    fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    CHECK(fixture.call("/once/").head.status == 200);
    CHECK(fixture.log.count("registration_rejected") == 2);
}

TEST_CASE("a draining server gets no new calls") {
    node_fixture fixture;
    fixture.start();
    scripted_server& leaving = fixture.add_server(
        "i-1", "plain", [](scripted_call& call) { answer(call, 200, "leaving"); });
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "stays"); });
    fixture.store.put("servers", "i-1",
                      R"({"service":"plain","address":"127.0.0.1:1","zone":"z1","version":"v1",
                          "slots":8,"state":"draining"})");
    REQUIRE(run_until(fixture.loop, [&] { return fixture.log.count("server_leaving") == 1; }));
    for (int i = 0; i < 5; ++i) {
        CHECK(fixture.call("/once/").body == "stays");
    }
    CHECK(leaving.calls().empty());
}
