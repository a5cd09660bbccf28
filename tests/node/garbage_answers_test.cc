// Servers that send bytes that are no answer, without end, until the caller closes.
#include "node_fixture.h"
#include "support/endless_server.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

struct garbage {
    std::string name;
    std::string first;
    std::string repeated;
};

const std::string own_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Upstream-Signature: s\r\n";

const std::vector<garbage> endless_garbage{
    {"no answer", "", "\x01\x02 garbage "},
    {"empty lines", "", "\r\n"},
    {"status line", "HTTP/1.1 200 O", "K"},
    {"one header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
    {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"an answer to another call",
     "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Upstream-Signature: s\r\n\r\n", "a"},
    {"answers to other calls", "",
     "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Upstream-Signature: s\r\n"
     "Content-Length: 1\r\n\r\na"},
    {"body without length", own_head + "\r\n", "a"},
    {"chunked body", own_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
    {"chunk size", own_head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
    {"trailer lines", own_head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"},
    {"unsigned refusal", "HTTP/1.1 503 Busy\r\nX-Attempt-Id: id-1\r\n\r\n", "a"},
};

/// The route's timeout; a call must have ended well before.
constexpr millis route_timeout{20'000};

void check_endless(const garbage& sent, const std::string& path, const std::string& service) {
    INFO(sent.name << " at " << path);
    node_fixture fixture;
    const nlohmann::json changes{{"timeoutMs", route_timeout.count()}};
    fixture.start({{"often", changes}, {"stream", changes}, {"resumed", changes}});
    endless_server server(fixture.loop, sent.first, sent.repeated);
    fixture.store.put("servers", "i-1", registration_of_test(service, server.address()));
    REQUIRE(run_until(fixture.loop, [&] { return fixture.log.count("server_seen") == 1; }));
    const time_point began = fixture.time.now();
    recorded_call got;
    const auto running = fixture.send(path, got);
    REQUIRE(run_until(
        fixture.loop, [&] { return got.over(); }, route_timeout));
    CHECK(fixture.time.now() - began < route_timeout / 2);
    CHECK(got.head.status >= 500);
    CHECK(run_until(
        fixture.loop, [&] { return server.all_closed(); }, millis{1'000}));
}

} // namespace

TEST_CASE("bytes without end that are no answer fail a plain call early") {
    for (const garbage& sent : endless_garbage) {
        check_endless(sent, "/often/", "plain");
    }
}

TEST_CASE("bytes without end that are no answer fail a stream early") {
    for (const garbage& sent : endless_garbage) {
        check_endless(sent, "/resumed/", "model");
    }
}

TEST_CASE("a call is answered by a second server when the first sends bytes without end") {
    node_fixture fixture;
    fixture.start();
    endless_server bad(fixture.loop, "HTTP/1.1 200 OK\r\nX-Long: ", "a");
    fixture.store.put("servers", "i-1", registration_of_test("plain", bad.address()));
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    for (int i = 0; i < 4; ++i) {
        CHECK(fixture.call("/often/").body == "ok");
    }
    CHECK(bad.connections() > 0);
}
