#include "standins/standin_platform.h"

#include "jujubetide/platform/http_cloud.h"
#include "jujubetide/platform/http_host_list.h"
#include "jujubetide/platform/http_object_store.h"
#include "jujubetide/platform/http_table.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

std::unique_ptr<standin_platform> make_platform(standin_platform_options options = {}) {
    auto platform = standin_platform::make(options);
    REQUIRE(platform.ok());
    return *std::move(platform);
}

table_transaction write_of(const std::string& key, const std::string& value) {
    return {{}, {{key, value}}};
}

} // namespace

TEST_CASE("the table keeps bytes and scans by prefix") {
    const auto platform = make_platform();
    http_table table(platform->address());
    const std::string bytes("\0\xff\"\n", 4);
    const auto version = table.commit({{}, {{"a/1", bytes}, {"a/2", "two"}, {"b", "other"}}});
    REQUIRE(version.ok());
    const auto row = table.get("a/1");
    REQUIRE(row.ok());
    REQUIRE(row->has_value());
    CHECK((*row)->value == bytes);
    CHECK((*row)->version == *version);
    CHECK_FALSE(table.get("c")->has_value());
    CHECK(table.scan("a/", "", 10)->size() == 2);
    CHECK(table.scan("a/", "", 1)->front().key == "a/1");
    CHECK(table.scan("a/", "a/1", 10)->front().key == "a/2");
}

TEST_CASE("a commit whose condition fails is aborted whole") {
    const auto platform = make_platform();
    http_table table(platform->address());
    REQUIRE(table.commit(write_of("a", "1")).ok());
    const auto again = table.commit({{{"a", row_version(0)}}, {{"a", "2"}, {"b", "2"}}});
    CHECK(again.status().code() == absl::StatusCode::kAborted);
    CHECK_FALSE(table.get("b")->has_value());
    const row_version seen = (*table.get("a"))->version;
    CHECK(table.commit({{{"a", seen}}, {{"a", std::nullopt}}}).ok());
    CHECK_FALSE(table.get("a")->has_value());
}

TEST_CASE("a table that is down applied nothing; a lost reply leaves the outcome open") {
    const auto platform = make_platform();
    http_table table(platform->address());
    platform->set_table_down(true);
    CHECK(table.commit(write_of("a", "1")).status().code() == absl::StatusCode::kUnavailable);
    CHECK(table.get("a").status().code() == absl::StatusCode::kUnavailable);
    platform->set_table_down(false);
    CHECK_FALSE(table.get("a")->has_value());

    platform->drop_commit_replies(1);
    CHECK(table.commit(write_of("a", "1")).status().code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(table.get("a")->has_value());
    CHECK(table.commit(write_of("a", "2")).ok());
}

TEST_CASE("a slow table leaves the outcome of a commit open") {
    const auto platform = make_platform();
    http_table table(platform->address(), {millis{500}, millis{100}, millis{500}});
    platform->set_slow(millis{2'000});
    CHECK(table.commit(write_of("a", "1")).status().code() == absl::StatusCode::kDeadlineExceeded);
}

TEST_CASE("a platform that is not there applied nothing") {
    endpoint closed;
    { closed = make_platform()->address(); }
    http_table table(closed);
    CHECK(table.commit(write_of("a", "1")).status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("faults are switched over HTTP too") {
    const auto platform = make_platform();
    http_table table(platform->address());
    const auto faults = [&platform](const std::string& body) {
        return http_call(platform->address(), "POST", "/faults", body, {})->status;
    };
    CHECK(faults(R"({"table_down": true})") == 200);
    CHECK_FALSE(table.get("a").ok());
    CHECK(faults(R"({"table_down": false, "drop_commit_replies": 1})") == 200);
    CHECK_FALSE(table.commit(write_of("a", "1")).ok());
    CHECK(table.get("a")->has_value());
}

TEST_CASE("objects are kept by name") {
    const auto platform = make_platform();
    http_object_store objects(platform->address());
    CHECK(objects.get("results/a b").status().code() == absl::StatusCode::kNotFound);
    const std::string bytes("\0body\xfe", 6);
    REQUIRE(objects.put("results/a b%", bytes).ok());
    CHECK(*objects.get("results/a b%") == bytes);
}

TEST_CASE("the cloud starts one host for a start id, gives notice and lists with a lag") {
    standin_platform_options options;
    const failure_domain_id komarno("komarno");
    options.hosts = {{host_id("h1"), komarno, host_class_id("small"), true, false},
                     {host_id("h2"), komarno, host_class_id("small"), false, false}};
    options.prices = {{host_class_id("small"), komarno, true, micro_price(40'000)}};
    const auto platform = make_platform(options);
    http_cloud cloud(platform->address());
    http_host_list hosts(platform->address());

    const host_start start{"s1", host_class_id("small"), komarno, true};
    platform->set_refuse_starts(true);
    CHECK(cloud.start(start).status().code() == absl::StatusCode::kResourceExhausted);
    platform->set_refuse_starts(false);
    const auto started = cloud.start(start);
    REQUIRE(started.ok());
    CHECK(*cloud.start(start) == *started);
    CHECK(hosts.list()->size() == 3);
    CHECK(cloud.prices()->front().price == micro_price(40'000));

    platform->set_host_list_lag(millis{3'600'000});
    platform->reclaim_domain(komarno, millis{60'000});
    const auto notices = cloud.reclaim_notices();
    REQUIRE(notices.ok());
    CHECK(notices->size() == 2);
    CHECK(notices->front().time_left > millis{0});
    CHECK(hosts.list()->size() == 2);
    CHECK_FALSE(hosts.list()->front().leaving);
    platform->set_host_list_lag(millis{0});
    CHECK(hosts.list()->front().leaving);
    CHECK(cloud.stop(*started).ok());
    CHECK(hosts.list()->size() == 2);
}
