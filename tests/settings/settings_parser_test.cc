#include "jujubetide/settings/settings_parser.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const std::string hash_a(64, 'a');
const std::string hash_b(64, 'b');

settings_documents valid_documents() {
    return {
        {"/teams/frio/services/diagnosis", "kind: model\nversion: v1\nroutes:\n  - id: notes\n"},
        {"/teams/frio/services/dispatch",
         "kind: plain\nversion: d1\nroutes:\n"
         "  - {id: book, method: POST, path_prefix: /bookings, idempotent: false}\n"
         "  - {id: read, method: GET, idempotent: true, priority: 3}\n"},
        {"/teams/frio/backends/engine-1",
         "service: diagnosis\nversion: v1\naddress: 10.0.0.1:8000\nhost: h1\n"
         "failure_domain: ar-centro-a\nprice_micro: 250000\nprefill_tokens_per_second: 12000\n"},
        {"/teams/frio/customers/kitchen",
         "key_sha256: " + hash_a + "\nshare: 2.5\nservices: [diagnosis, dispatch]\n"},
        {"/operators/ana", "key_sha256: " + hash_b + "\nsubtrees: [/teams/frio/]\n"},
    };
}

std::string faults_of(const settings_documents& documents) {
    findings found;
    const snapshot_ptr snapshot = parse_settings(documents, revision{1}, found);
    CHECK((snapshot == nullptr) != found.empty());
    return found.format();
}

void expect_fault(const std::string& path, const std::string& text, const std::string& fault) {
    settings_documents documents = valid_documents();
    documents[path] = text;
    CHECK_THAT(faults_of(documents), Catch::Contains(fault));
}

} // namespace

TEST_CASE("settings are read into typed values with their defaults") {
    findings found;
    const snapshot_ptr snapshot = parse_settings(valid_documents(), revision{7}, found);
    INFO(found.format());
    REQUIRE(snapshot);
    CHECK(snapshot->at() == revision{7});
    const service_settings* dispatch = snapshot->find_service(service_id("dispatch"));
    REQUIRE(dispatch != nullptr);
    CHECK(dispatch->kind == service_kind::plain);
    CHECK(dispatch->team == team_id("frio"));
    CHECK(dispatch->default_deadline == millis{30'000});
    REQUIRE(dispatch->routes.size() == 2);
    CHECK_FALSE(dispatch->routes[0].idempotent);
    CHECK(dispatch->routes[1].priority == 3);
    CHECK(dispatch->max_answer_bytes == 16U << 20U);
    CHECK(dispatch->answer_timeout == millis{60'000});
    const auto servers = snapshot->servers_of(service_id("diagnosis"));
    REQUIRE(servers.size() == 1);
    CHECK(servers[0]->address == endpoint{"10.0.0.1", 8000});
    CHECK(servers[0]->price == micro_price{250'000});
    CHECK(servers[0]->prefill_tokens_per_second == 12'000.0);
    REQUIRE(snapshot->find_customer(hash_a) != nullptr);
    CHECK(snapshot->find_customer(hash_a)->share == 2.5);
}

TEST_CASE("all findings of all documents are reported together with their places") {
    settings_documents documents = valid_documents();
    documents["/teams/frio/services/diagnosis"] =
        "kind: model\nversion: v1\nretry_percent: 200\nroutes:\n  - id: notes\n    priority: "
        "high\n";
    documents["/teams/frio/customers/kitchen"] =
        "key_sha256: secret\nservices: [billing]\ncolour: blue\n";
    const std::string faults = faults_of(documents);
    CHECK_THAT(faults, Catch::Contains("/teams/frio/services/diagnosis:3: retry_percent: "));
    CHECK_THAT(faults, Catch::Contains("/teams/frio/services/diagnosis:6: routes[0].priority: "));
    CHECK_THAT(faults, Catch::Contains("/teams/frio/customers/kitchen:1: key_sha256: "));
    CHECK_THAT(faults, Catch::Contains("/teams/frio/customers/kitchen:3: colour: unknown field"));
    CHECK_THAT(faults, Catch::Contains("team 'frio' has no service 'billing'"));
}

TEST_CASE("wrong types, ranges and names are found") {
    const std::string service = "/teams/frio/services/diagnosis";
    expect_fault(service, "[]", "must be a map");
    expect_fault(service, "", "must be a map");
    expect_fault(service, "kind: [model", "not YAML");
    expect_fault(service, "kind: model\nversion: v1\n", "routes: is missing");
    expect_fault(service, "kind: model\nversion: v1\nroutes: []\n", "at least one route");
    expect_fault(service, "kind: model\nversion: 'v 1'\nroutes: [{id: a}]\n", "is not an id");
    expect_fault(service, "kind: model\nversion: v1\nroutes: [{id: a}, {id: a}]\n", "stands twice");
    expect_fault(service, "kind: model\nkind: plain\nversion: v1\nroutes: [{id: a}]\n",
                 ":2: kind: stands twice");
    expect_fault(service, "kind: model\nversion: v1\nroutes: [{id: a, method: GET}]\n",
                 "routes[0].method: unknown field");
    expect_fault(service, "kind: plain\nversion: v1\nroutes: [{id: a}]\n",
                 "routes[0].idempotent: is missing");
    expect_fault(service, "kind: plain\nversion: v1\nroutes: [{id: a, idempotent: maybe}]\n",
                 "not one of true, false");
    expect_fault(service,
                 "kind: model\nversion: v1\nfirst_piece_target_ms: 9\ndefault_deadline_ms: 5\n"
                 "routes: [{id: a}]\n",
                 "is longer than default_deadline_ms");
    expect_fault("/teams/frio/backends/engine-1",
                 "service: diagnosis\nversion: v1\naddress: example:80\nhost: h\n"
                 "failure_domain: a\n",
                 "is not an IPv4 address");
    expect_fault("/operators/ana", "key_sha256: " + hash_b + "\nsubtrees: [teams]\n",
                 "is not a path prefix");
    expect_fault("/teams/frio/engines/x", "a: b", "is not a settings path");
    expect_fault("/teams/../services/x", "a: b", "is not a settings path");
}

TEST_CASE("ids, keys and addresses are unique over all teams") {
    expect_fault("/teams/dunajsky/services/diagnosis",
                 "kind: model\nversion: v1\nroutes: [{id: a}]\n", "the service id is also that of");
    expect_fault("/teams/frio/customers/clinic",
                 "key_sha256: " + hash_a + "\nservices: [diagnosis]\n",
                 "the key is also that of /teams/frio/customers/clinic");
    expect_fault("/teams/frio/backends/engine-2",
                 "service: diagnosis\nversion: v1\naddress: 10.0.0.1:8000\nhost: h2\n"
                 "failure_domain: a\n",
                 "the address is also that of /teams/frio/backends/engine-1");
    expect_fault("/teams/dunajsky/customers/barge",
                 "key_sha256: " + std::string(64, 'c') + "\nservices: [diagnosis]\n",
                 "team 'dunajsky' has no service 'diagnosis'");
}

TEST_CASE("the limits of a plain service's answer are checked") {
    const std::string path = "/teams/frio/services/dispatch";
    const std::string plain = "kind: plain\nversion: d1\nroutes:\n"
                              "  - {id: read, idempotent: true}\n";
    settings_documents documents = valid_documents();
    documents[path] = plain + "max_answer_bytes: 2048\nanswer_timeout_ms: 500\n";
    findings found;
    const snapshot_ptr snapshot = parse_settings(documents, revision{1}, found);
    REQUIRE(snapshot);
    const service_settings* dispatch = snapshot->find_service(service_id("dispatch"));
    CHECK(dispatch->max_answer_bytes == 2'048);
    CHECK(dispatch->answer_timeout == millis{500});
    expect_fault(path, plain + "max_answer_bytes: 1023\n", "max_answer_bytes");
    expect_fault(path, plain + "max_answer_bytes: 67108865\n", "max_answer_bytes");
    expect_fault(path, plain + "answer_timeout_ms: 0\n", "answer_timeout_ms");
    expect_fault(path, plain + "answer_timeout_ms: 3600001\n", "answer_timeout_ms");
    expect_fault("/teams/frio/services/diagnosis",
                 "kind: model\nversion: v1\nroutes:\n  - id: notes\nmax_answer_bytes: 2048\n",
                 "limit of plain services");
}

TEST_CASE("the fleet's document is checked") {
    const std::string path = "/fleet/hosts";
    settings_documents documents = valid_documents();
    documents[path] = "classes: [{id: small, work_rate: 8000}]\n"
                      "demands: [{service: diagnosis, work_rate: 60000, max_utilisation: 0.7}]\n"
                      "start_time_ms: 90000\n";
    findings found;
    const snapshot_ptr snapshot = parse_settings(documents, revision{1}, found);
    REQUIRE(snapshot != nullptr);
    REQUIRE(snapshot->fleet());
    CHECK(snapshot->fleet()->classes.front().work_rate == 8000.0);
    CHECK(snapshot->fleet()->demands.front().max_utilisation == 0.7);
    CHECK(snapshot->fleet()->start_time == millis(90'000));

    expect_fault(path, "classes: [{id: small, work_rate: 0}]\ndemands: []\n",
                 "/fleet/hosts:1: classes[0].work_rate:");
    expect_fault(path, "classes: [{id: small}]\ndemands: []\n", "work_rate: is missing");
    expect_fault(path,
                 "classes: [{id: small, work_rate: 1}, {id: small, work_rate: 2}]\ndemands: []\n",
                 "the class is also that of");
    expect_fault(path, "classes: []\ndemands: [{service: heating, work_rate: 1}]\n",
                 "there is no service 'heating'");
    expect_fault(path,
                 "classes: [{id: small, work_rate: 1}]\n"
                 "demands: [{service: diagnosis, work_rate: 8001, max_utilisation: 0.8}]\n",
                 "needs more than 10000 hosts of class 'small'");
    expect_fault(path, "classes: []\ndemands: []\nhosts: 3\n", "hosts");
    expect_fault("/fleet/other", "classes: []\ndemands: []\n", "is not a settings path");
}
