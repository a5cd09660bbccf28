#include "entry_fixture.h"
#include "support/raw_call.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace jujubetide;

namespace {

struct refused_call {
    std::string name;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    int status;
};

std::string chat_body(const std::string& model) {
    return nlohmann::json{{"model", model},
                          {"messages", {{{"role", "user"}, {"content", "hello"}}}},
                          {"max_tokens", 4}}
        .dump();
}

} // namespace

TEST_CASE("a completion comes whole, streamed and at once") {
    entry_fixture system;
    const std::string expected = standin_answer("a prompt", 8);
    const caller_answer streamed = system.caller().stream("chat", "a prompt", 8);
    CHECK(streamed.whole);
    CHECK(streamed.text == expected);
    const caller_answer whole = system.caller().whole("frio/chat", "a prompt", 8);
    CHECK(whole.whole);
    CHECK(whole.text == expected);
}

TEST_CASE("a chat's messages are joined the same way each time") {
    entry_fixture system(1);
    const auto answer = http_call(
        system.entries[0]->server().address(), "POST", "/v1/chat/completions", chat_body("chat"),
        {}, {{"Authorization", "Bearer customer-key"}, {"X-Request-Id", "caller-7"}});
    REQUIRE(answer.ok());
    REQUIRE(answer->status == 200);
    CHECK(answer->headers.at("X-Request-Id") == "caller-7");
    const auto body = nlohmann::json::parse(answer->body);
    CHECK(body["choices"][0]["message"]["content"] == standin_answer("user: hello\n", 4));
    CHECK(body["choices"][0]["finish_reason"].is_string());
}

TEST_CASE("bad input is refused at once as not run") {
    entry_fixture system(1);
    const std::string good = R"({"model": "chat", "prompt": "x"})";
    const std::map<std::string, std::string> key{{"Authorization", "Bearer customer-key"}};
    auto with = [&key](const std::string& name, const std::string& value) {
        auto headers = key;
        headers[name] = value;
        return headers;
    };
    const std::vector<refused_call> calls{
        {"no key", "/v1/completions", good, {}, 401},
        {"wrong key", "/v1/completions", good, {{"Authorization", "Bearer nobody"}}, 401},
        {"malformed", "/v1/completions", "{", key, 400},
        {"no prompt", "/v1/completions", R"({"model": "chat"})", key, 400},
        {"zero pieces", "/v1/completions", R"({"model": "chat", "prompt": "x", "max_tokens": 0})",
         key, 400},
        {"unknown service", "/v1/completions", R"({"model": "other", "prompt": "x"})", key, 404},
        {"wrong team", "/v1/completions", R"({"model": "dunaj/chat", "prompt": "x"})", key, 404},
        {"plain as model", "/v1/completions", R"({"model": "berth", "prompt": "x"})", key, 404},
        {"bad deadline", "/v1/completions", good, with("X-Deadline-Ms", "soon"), 400},
        {"negative deadline", "/v1/completions", good, with("X-Deadline-Ms", "-1"), 400},
        {"too large", "/v1/completions", std::string((1U << 20U) + 1, ' '), key, 413},
        {"unknown plain service", "/s/none/x", "", key, 404},
        {"unknown path", "/nothing", "", key, 404},
    };
    for (const refused_call& call : calls) {
        INFO(call.name);
        const auto answer = http_call(system.entries[0]->server().address(), "POST", call.path,
                                      call.body, {}, call.headers);
        REQUIRE(answer.ok());
        CHECK(answer->status == call.status);
        CHECK(answer->content_type == "application/problem+json");
        CHECK(nlohmann::json::parse(answer->body)["outcome"] == "not_run");
    }
    CHECK(system.engines[0]->counters().executions_by_request.empty());
}

TEST_CASE("bad input to a plain service is refused at once as not run") {
    entry_fixture system(1);
    const std::string key = "Authorization: Bearer customer-key\r\n";
    const std::string large = std::string((1U << 20U) + 1, ' ');
    const auto head = [](const std::string& path, const std::string& headers, std::size_t length) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
               "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    const std::vector<std::pair<std::string, std::string>> calls{
        {"401", head("/s/berth/x", "", 0)},
        {"401", head("/s/berth/x", "Authorization: Bearer nobody\r\n", 0)},
        {"404", head("/s/none/x", key, 0)},
        {"404", head("/s/chat/x", key, 0)},
        {"413", head("/s/berth/x", key, large.size()) + large},
        {"413", head("/s/berth/x", key, 1'000'000'000)},
        {"400", head("/s/berth/x", key + "Idempotency-Key: a b\r\n", 0)},
        {"400", "POST\r\n\r\n"},
    };
    for (const auto& [status, bytes] : calls) {
        INFO(bytes.substr(0, 200));
        const std::string answer = raw_call(system.entries[0]->server().address(), bytes);
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + status + " "));
        CHECK_THAT(answer, Catch::Contains("application/problem+json"));
        CHECK_THAT(answer, Catch::Contains(R"("outcome":"not_run")"));
    }
    CHECK(system.plain[0]->executions() + system.plain[1]->executions() == 0);
}

TEST_CASE("a slow sender is refused once the read timeout has passed") {
    entry_fixture system(1);
    const std::string answer =
        raw_call(system.entries[0]->server().address(),
                 "POST /s/berth/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer customer-key\r\n"
                 "Content-Length: 10\r\n\r\nhalf");
    CHECK(answer.starts_with("HTTP/1.1 408 "));
    CHECK_THAT(answer, Catch::Contains(R"("outcome":"not_run")"));
    CHECK(system.plain[0]->executions() + system.plain[1]->executions() == 0);
}

TEST_CASE("an entry is ready once its settings declare a service") {
    const auto platform = standin_platform::make({});
    REQUIRE(platform.ok());
    peer_hub hub;
    test_entry entry(hub, 0, (*platform)->address());
    const endpoint address = entry.server().address();
    const auto ready = [&address] { return http_call(address, "GET", "/readyz", "", {})->status; };
    CHECK(ready() == 503);
    entry.server().set_settings_ready();
    CHECK(ready() == 503);
    settings_snapshot::parts parts;
    entry.boards.settings.offer(settings_snapshot::make(parts));
    CHECK(ready() == 503);
    // A new system's callers are told to come back, not that their keys are wrong.
    const auto early = http_call(address, "POST", "/s/berth/x", "", {},
                                 {{"Authorization", "Bearer customer-key"}});
    CHECK(early->status == 503);
    CHECK(early->headers.contains("Retry-After"));
    CHECK(nlohmann::json::parse(early->body)["code"] == "not_ready");
    parts.at = revision(1);
    service_settings service;
    service.id = service_id("berth");
    parts.services = {service};
    entry.boards.settings.offer(settings_snapshot::make(parts));
    CHECK(ready() == 200);
}

TEST_CASE("entries, readiness and metrics follow the node's state") {
    entry_fixture system(1, 3);
    const endpoint entry = system.entries[0]->server().address();
    (void)system.caller().whole("chat", "x", 2);
    const auto list = http_call(entry, "GET", "/v1/entries", "", {});
    REQUIRE(list.ok());
    const auto body = nlohmann::json::parse(list->body);
    REQUIRE(body["entries"].size() == 3);
    CHECK(body["entries"][0]["address"] == entry.str());
    CHECK(body["lifetime_ms"] == 30'000);
    CHECK(http_call(entry, "GET", "/readyz", "", {})->status == 200);
    const std::string metrics = http_call(entry, "GET", "/metrics", "", {})->body;
    CHECK_THAT(metrics, Catch::Contains("jujubetide_requests_total{outcome=\"whole\""));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_settings_revision 1"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_build_info{sources=\""));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_members 3"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_answer_seconds_count{service=\"chat\"} 1"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_attempts_total{service=\"chat\","
                                        "version=\"v1\"} 1"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_version_share{service=\"chat\","
                                        "version=\"v1\"} 1"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_control_bytes_total{direction=\"out\","
                                        "kind=\"heartbeat\"} 120"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_control_messages_total{direction=\"in\","
                                        "kind=\"heartbeat\"} 4"));

    system.entries[0]->server().begin_drain();
    CHECK(http_call(entry, "GET", "/readyz", "", {})->status == 503);
    const auto shorter = http_call(entry, "GET", "/v1/entries", "", {});
    CHECK(nlohmann::json::parse(shorter->body)["entries"].size() == 2);
    const auto refused = system.caller().whole("chat", "x", 2);
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not_run");
    CHECK(http_call(entry, "GET", "/healthz", "", {})->status == 200);
}

TEST_CASE("a caller that goes away cancels its engine stream") {
    entry_fixture system(1);
    standin_engine_knobs slow;
    slow.between_pieces = millis{20};
    system.engines[0]->set_knobs(slow);
    (void)system.caller().stream("chat", "x", 1'000, [](std::size_t pieces) { return pieces < 3; });
    CHECK(wait_until([&system] { return system.running_engines() == 0; }));
    // The order to cancel follows the closed connection, by which the engine has stopped already.
    const auto cancelled = [&system] {
        return system.engines[0]->counters().cancelled_attempts.size();
    };
    CHECK(wait_until([&] { return cancelled() > 0; }));
    CHECK(cancelled() == 1);
}

TEST_CASE("a request past its deadline gets its final answer with a time to come back") {
    entry_fixture system(1);
    standin_engine_knobs slow;
    slow.first_piece = millis{20'000};
    system.engines[0]->set_knobs(slow);
    standin_caller caller = system.caller();
    caller.set_header("X-Deadline-Ms", "300");
    const caller_answer answer = caller.whole("chat", "x", 4);
    CHECK(answer.status == 504);
    CHECK(answer.outcome == "unknown");
    CHECK(answer.retry_after == "1");
    CHECK(wait_until([&system] { return system.running_engines() == 0; }));
}

TEST_CASE("a request that no server can take is refused at once") {
    entry_fixture system(1);
    system.leave_host_of_engine(0);
    const caller_answer answer = system.caller().whole("chat", "x", 4);
    CHECK(answer.status == 503);
    CHECK(answer.outcome == "not_run");
    CHECK_FALSE(answer.retry_after.empty());
    CHECK(system.engines[0]->counters().executions_by_request.empty());
}
