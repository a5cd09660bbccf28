#include "support/fake_table.h"

#include "jujubetide/settings/settings_history.h"
#include "jujubetide/settings/settings_store.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const std::string service_path = "/teams/frio/services/diagnosis";
const std::string hash_a(64, 'a');
const std::string hash_b(64, 'b');

std::string service_text(const std::string& version) {
    return "kind: model\nversion: " + version + "\nroutes: [{id: notes}]\n";
}

settings_change change_of(const std::string& id, std::uint64_t expected,
                          std::map<std::string, std::optional<std::string>> edits,
                          const std::string& author = "ana") {
    return {change_id(id), operator_id(author), revision(expected), std::move(edits), {}, "why"};
}

std::string version_in(const snapshot_ptr& snapshot) {
    return snapshot->find_service(service_id("diagnosis"))->version.str();
}

/// A store with one service at version v1, made by change "c1" as revision 1.
struct started_store {
    started_store() {
        REQUIRE(store.apply(change_of("c1", 0, {{service_path, service_text("v1")}})).ok());
    }
    fake_table rows;
    settings_store store{rows};
};

} // namespace

TEST_CASE("a change is accepted with its audit record in one commit") {
    started_store started;
    CHECK(started.rows.commits() == 1);
    const auto loaded = started.store.load();
    REQUIRE(loaded.ok());
    CHECK((*loaded)->at() == revision{1});
    CHECK(version_in(*loaded) == "v1");
    const auto history = settings_history(started.rows).read({});
    REQUIRE(history.ok());
    REQUIRE(history->records.size() == 1);
    CHECK(history->records[0].change == change_id("c1"));
    CHECK_FALSE(history->records[0].edits[0].from.has_value());
    CHECK(history->records[0].edits[0].to == service_text("v1"));
}

TEST_CASE("the second of two operators gets a conflict that shows both sides") {
    started_store started;
    REQUIRE(started.store.apply(change_of("c2", 1, {{service_path, service_text("v2")}})).ok());
    const auto lost =
        started.store.apply(change_of("c3", 1, {{service_path, service_text("v3")}}, "bela"));
    CHECK(lost.status().code() == absl::StatusCode::kAborted);
    const std::string message(lost.status().message());
    CHECK_THAT(message, Catch::Contains("change 'c2' of operator 'ana'"));
    CHECK_THAT(message, Catch::Contains("change 'c3' of operator 'bela'"));
    CHECK_THAT(message, Catch::Contains(service_path));
    CHECK(version_in(*started.store.load()) == "v2");
}

TEST_CASE("a repeated submission is accepted once") {
    started_store started;
    const auto change = change_of("c2", 1, {{service_path, service_text("v2")}});
    REQUIRE(started.store.apply(change).ok());
    REQUIRE(started.store.apply(change_of("c3", 2, {{service_path, service_text("v3")}})).ok());
    const auto again = started.store.apply(change);
    REQUIRE(again.ok());
    CHECK(version_in(*again) == "v3");
    CHECK(started.store.revision_of(change.id)->value() == revision{2});
    const auto other = started.store.apply(change_of("c2", 3, {{service_path, std::nullopt}}));
    CHECK(other.status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("a lost commit reply is settled by the change id") {
    started_store started;
    const auto change = change_of("c2", 1, {{service_path, service_text("v2")}});
    SECTION("the commit took effect") {
        started.rows.lose_next_commit_reply();
    }
    SECTION("the commit was lost") {
        started.rows.lose_next_commit();
    }
    const auto result = started.store.apply(change);
    REQUIRE(result.ok());
    CHECK((*result)->at() == revision{2});
    CHECK(settings_history(started.rows).read({})->records.size() == 2);
}

TEST_CASE("reads that lag never turn an accepted change into a conflict or a revert") {
    started_store started;
    const auto change = change_of("c2", 1, {{service_path, service_text("v2")}});
    started.rows.set_stale(true);
    started.rows.lose_next_commit_reply();
    const auto unknown = started.store.apply(change);
    CHECK(unknown.status().code() == absl::StatusCode::kDeadlineExceeded);
    const auto racing = started.store.apply(change_of("c3", 1, {{service_path, std::nullopt}}));
    CHECK_FALSE(racing.ok());
    started.rows.set_stale(false);
    REQUIRE(started.store.apply(change).ok());
    CHECK(version_in(*started.store.load()) == "v2");
}

TEST_CASE("an outage refuses changes and says that nothing was applied") {
    started_store started;
    started.rows.set_down(true);
    const auto refused = started.store.apply(change_of("c2", 1, {{service_path, std::nullopt}}));
    CHECK(refused.status().code() == absl::StatusCode::kUnavailable);
    CHECK(started.store.load().status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("documents that do not belong to the head are not served") {
    started_store started;
    REQUIRE(started.rows.commit({{}, {{"settings/doc" + service_path, service_text("v9")}}}).ok());
    CHECK(started.store.load().status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("an operator writes the own subtrees and nothing else") {
    started_store started;
    const std::map<std::string, std::optional<std::string>> operators{
        {"/operators/ana", "key_sha256: " + hash_a + "\nsubtrees: [/]\n"},
        {"/operators/bela", "key_sha256: " + hash_b + "\nsubtrees: [/teams/frio/]\n"}};
    REQUIRE(started.store.apply(change_of("c2", 1, operators)).ok());
    CHECK(
        started.store.apply(change_of("c3", 2, {{service_path, service_text("v2")}}, "bela")).ok());
    const auto outside = started.store.apply(
        change_of("c4", 3, {{"/teams/dunajsky/services/x", service_text("v1")}}, "bela"));
    CHECK(outside.status().code() == absl::StatusCode::kPermissionDenied);
    CHECK_THAT(std::string(outside.status().message()),
               Catch::Contains("/teams/dunajsky/services/x"));
    const auto alike = started.store.apply(
        change_of("c7", 3, {{"/teams/frio2/services/x", service_text("v1")}}, "bela"));
    CHECK(alike.status().code() == absl::StatusCode::kPermissionDenied);
    const auto unknown = started.store.apply(change_of("c5", 3, {{service_path, ""}}, "carla"));
    CHECK(unknown.status().code() == absl::StatusCode::kPermissionDenied);
    const auto lockout =
        started.store.apply(change_of("c6", 3, {{"/operators/ana", std::nullopt}}));
    CHECK(lockout.status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("history is read in pages, the newest first, by path") {
    started_store started;
    for (std::uint64_t i = 1; i <= 450; ++i) {
        const std::string path = i % 3 == 0 ? "/teams/frio/services/x" : service_path;
        const auto text = service_text("v" + std::to_string(i));
        REQUIRE(started.store.apply(change_of("d" + std::to_string(i), i, {{path, text}})).ok());
    }
    settings_history history(started.rows);
    std::vector<std::uint64_t> seen;
    history_query query{revision{}, "/teams/frio/services/x", 40};
    while (true) {
        const auto page = history.read(query);
        REQUIRE(page.ok());
        for (const audit_record& record : page->records) {
            seen.push_back(record.at.value());
        }
        if (page->next_before == revision{}) {
            break;
        }
        query.before = page->next_before;
    }
    REQUIRE(seen.size() == 150);
    CHECK(std::is_sorted(seen.rbegin(), seen.rend()));
    CHECK(history.read({revision{2}, "", 10})->records.size() == 1);
}
