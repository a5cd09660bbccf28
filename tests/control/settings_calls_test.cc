#include "control/started_control.h"
#include "support/raw_call.h"

#include "jujubetide/peer/nghttp2_peer_link.h"

using namespace jujubetide;
using nlohmann::json;

namespace {
const std::string service_path = "/teams/frio/services/diagnosis";
}

TEST_CASE("the first operator comes in by the bootstrap key, which then stops working") {
    started_control control;
    CHECK(control.apply("wrong", "c1", 0, first_documents()).status == 401);
    CHECK(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    CHECK(control.apply("bootstrap-key", "c2", 1, {{service_path, service_text("v2")}}).status ==
          401);
    const auto again = control.apply("ana-key", "c2", 1, {{service_path, service_text("v2")}});
    CHECK(again.status == 200);
    CHECK(json::parse(again.body)["revision"] == 2);
}

TEST_CASE("an operator sees and writes the own subtrees only") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    const json seen = json::parse(control.call("GET", "/v1/settings", "bela-key").body);
    CHECK(seen["revision"] == 1);
    CHECK(seen["documents"].size() == 3);
    const auto refused =
        control.apply("bela-key", "c2", 1, {{"/operators/bela", operator_text("x", "/")}});
    CHECK(refused.status == 403);
    CHECK_THAT(json::parse(refused.body)["detail"].get<std::string>(),
               Catch::Contains("/operators/bela"));
}

TEST_CASE("wrong settings are answered with every finding") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    const json edits{{service_path, "kind: model\nroutes: [{id: a}]\nfoo: 1\n"}};
    const auto refused = control.apply("ana-key", "c2", 1, edits);
    CHECK(refused.status == 422);
    CHECK(refused.content_type == "application/problem+json");
    CHECK(json::parse(refused.body)["findings"].size() == 2);
    const auto checked =
        control.call("POST", "/v1/settings/check", "bela-key", json{{"edits", edits}}.dump());
    CHECK(json::parse(checked.body)["ok"] == false);
    CHECK(json::parse(checked.body)["findings"].size() == 2);
}

TEST_CASE("the loser of a race is told both sides, and a repeat is answered as the first time") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    REQUIRE(control.apply("ana-key", "c2", 1, {{service_path, service_text("v2")}}).status == 200);
    const auto lost = control.apply("bela-key", "c3", 1, {{service_path, service_text("v1")}});
    CHECK(lost.status == 409);
    CHECK_THAT(lost.body, Catch::Contains("change 'c2' of operator 'ana'"));
    REQUIRE(control.apply("ana-key", "c4", 2, {{service_path, service_text("v1")}}).status == 200);
    const auto repeated = control.apply("ana-key", "c2", 1, {{service_path, service_text("v2")}});
    CHECK(json::parse(repeated.body)["revision"] == 2);
    CHECK(json::parse(repeated.body)["newest"] == 3);
}

TEST_CASE("an outage of the table refuses changes and leaves reads of what is in force") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    control.rows.set_down(true);
    const auto refused = control.apply("ana-key", "c2", 1, {{service_path, service_text("v2")}});
    CHECK(refused.status == 503);
    CHECK(json::parse(refused.body)["outcome"] == "not_run");
    const json seen = json::parse(control.call("GET", "/v1/settings", "ana-key").body);
    CHECK(seen["source"] == "memory");
    CHECK(control.call("GET", "/v1/status", "ana-key").status == 200);
}

TEST_CASE("history shows who changed what, within the reader's subtrees") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    REQUIRE(control.apply("bela-key", "c2", 1, {{service_path, service_text("v2")}}).status == 200);
    const json page = json::parse(control.call("GET", "/v1/history?limit=5", "bela-key").body);
    REQUIRE(page["records"].size() == 2);
    CHECK(page["records"][0]["author"] == "bela");
    CHECK(page["records"][0]["edits"][0]["from"] == service_text("v1"));
    CHECK(page["records"][0]["edits"][0]["to"] == service_text("v2"));
    CHECK(page["records"][1]["edits"].size() == 3);
}

TEST_CASE("status tells where a change is in force and which nodes are behind") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    member node;
    node.node = node_id("entry-1");
    node.settings = revision{1};
    control.boards.members.merge(node);
    node.node = node_id("entry-2");
    node.settings = revision{0};
    node.health = member_health::suspected;
    control.boards.members.merge(node);
    const json status =
        json::parse(control.call("GET", "/v1/status?change=c1", "ana-key").body)["settings"];
    CHECK(status["in_force"] == 1);
    CHECK(status["nodes"] == 2);
    CHECK(status["behind"][0]["node"] == "entry-2");
    CHECK(status["behind"][0]["health"] == "suspected");
    CHECK(control.call("GET", "/v1/status?change=c9", "ana-key").status == 404);
}

TEST_CASE("malformed calls get a problem at once") {
    started_control control;
    REQUIRE(control.apply("bootstrap-key", "c1", 0, first_documents()).status == 200);
    CHECK(control.call("POST", "/v1/settings/apply", "ana-key", "{").status == 400);
    CHECK(control.call("POST", "/v1/settings/apply", "ana-key", "{\"change\": 3}").status == 400);
    CHECK(control.call("POST", "/v1/settings/apply", "ana-key", "[1]").status == 400);
    CHECK(control.call("GET", "/v1/nothing", "ana-key").status == 404);
    CHECK(control.call("GET", "/v1/settings").status == 401);
    CHECK(control.call("GET", "/readyz").status == 200);
    const std::string metrics = control.call("GET", "/metrics").body;
    CHECK_THAT(metrics, Catch::Contains("jujubetide_settings_revision 1"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_operator_answers_total{method=\"POST\","
                                        "status=\"400\"} 3"));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_operator_answer_seconds_count{method="));
    CHECK_THAT(metrics, Catch::Contains("jujubetide_version_share{service=\"diagnosis\","
                                        "version=\"v1\"} 1"));
}

TEST_CASE("what the operators' interface refuses itself is a problem") {
    started_control control;
    const endpoint address = control.server->address();
    const std::string post = "POST /v1/settings/apply HTTP/1.1\r\nHost: x\r\n"
                             "Authorization: Bearer bootstrap-key\r\n";
    const std::vector<std::pair<std::string, std::string>> calls{
        {"400", "nonsense\r\n\r\n"},
        {"404", "GET /nothing HTTP/1.1\r\n\r\n"},
        {"401", "GET /v1/settings HTTP/1.1\r\nAuthorization: Bearer nobody\r\n\r\n"},
        {"413", post + "Content-Length: 1000000000\r\n\r\n"},
        {"408", post + "Content-Length: 10\r\n\r\nhalf"},
    };
    for (const auto& [status, bytes] : calls) {
        INFO(bytes);
        const std::string answer = raw_call(address, bytes);
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + status + " "));
        CHECK_THAT(answer, Catch::Contains("application/problem+json"));
        CHECK_THAT(answer, Catch::Contains(R"("outcome":"not_run")"));
    }
}

TEST_CASE("the metrics of a control process show the traffic between the processes") {
    started_control control;
    const auto link = nghttp2_peer_link::make({"127.0.0.1", 0}, node_id("control"));
    REQUIRE(link.ok());
    (*link)->set_handler(peer_message_kind::demand, [](const peer_message&) {
        return absl::StatusOr<std::string>(std::string());
    });
    REQUIRE(
        (*link)->call((*link)->listening(), peer_message_kind::demand, "x", millis{60'000}).ok());
    const auto server = control_server::make(control.parts, {}, link->get());
    REQUIRE(server.ok());
    const auto metrics = http_call((*server)->address(), "GET", "/metrics", "", {});
    REQUIRE(metrics.ok());
    CHECK_THAT(metrics->body, Catch::Contains("jujubetide_control_messages_total{direction="
                                              "\"in\",kind=\"demand\"} 1"));
    CHECK_THAT(metrics->body, Catch::Contains("jujubetide_control_bytes_total{direction=\"out\","
                                              "kind=\"demand\"}"));
}
