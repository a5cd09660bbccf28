#include "node/peer_heartbeat.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("a digest comes back as it was") {
    peer_heartbeat digest;
    digest.node = node_id("n1");
    digest.start = incarnation(7);
    digest.is_ready = true;
    digest.cores = 0.25;
    digest.reaches_store = false;
    digest.follows_tables = true;
    digest.table_versions = {row_version(12), row_version(3)};
    digest.has_usage_history = true;
    digest.holds_duties = true;
    digest.lease_record = "record";
    digest.lease_version = row_version(77);
    digest.spending = {{customer_id("c"), 1234.5, 2000.0, -7.5}};
    digest.usage[usage_window(9)][customer_id("c")] = 4;
    digest.loads[backend_server_id("i-1")] = {2, 300, 4'000};
    digest.demand[service_id("s")] = 1.5;
    digest.readings = {{prefix_key(99), backend_server_id("i-1")}};
    const auto read = decode_heartbeat(encode(digest));
    REQUIRE(read.ok());
    CHECK(read->node == digest.node);
    CHECK(read->start == digest.start);
    CHECK(read->is_ready);
    CHECK_FALSE(read->is_leaving);
    CHECK(read->cores == 0.25);
    CHECK_FALSE(read->reaches_store);
    CHECK(read->follows_tables);
    CHECK(read->table_versions == digest.table_versions);
    CHECK(read->has_usage_history);
    CHECK(read->holds_duties);
    CHECK(read->lease_record == "record");
    CHECK(read->lease_version == row_version(77));
    CHECK(read->spending[0].total == 1234.5);
    CHECK(read->spending[0].asked == 2000.0);
    CHECK(read->spending[0].level == -7.5);
    CHECK(read->usage == digest.usage);
    CHECK(read->loads == digest.loads);
    CHECK(read->demand == digest.demand);
    REQUIRE(read->readings.size() == 1);
    CHECK(read->readings[0].key == prefix_key(99));
}

TEST_CASE("bytes that are no digest are told") {
    const std::string whole = encode(peer_heartbeat{});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(decode_heartbeat(std::string_view(whole).substr(0, length)).ok());
    }
    CHECK_FALSE(decode_heartbeat("\xff\xff\xff\xff").ok());
    CHECK_FALSE(decode_heartbeat(std::string(64, '\x93')).ok());
}
