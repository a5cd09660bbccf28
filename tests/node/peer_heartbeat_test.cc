#include "node/peer_heartbeat.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("an encoded heartbeat decodes to the same values") {
    peer_heartbeat heartbeat;
    heartbeat.node = node_id("n1");
    heartbeat.start = incarnation(7);
    heartbeat.is_ready = true;
    heartbeat.cores = 0.25;
    heartbeat.reaches_store = false;
    heartbeat.follows_tables = true;
    heartbeat.table_versions = {row_version(12), row_version(3)};
    heartbeat.has_usage_history = true;
    heartbeat.holds_duties = true;
    heartbeat.lease_record = "record";
    heartbeat.lease_version = row_version(77);
    heartbeat.spending = {{customer_id("c"), 1234.5, 2000.0, -7.5}};
    heartbeat.usage[usage_window(9)][customer_id("c")] = 4;
    heartbeat.loads[backend_server_id("i-1")] = {2, 300, 4'000};
    heartbeat.demand[service_id("s")] = 1.5;
    heartbeat.readings = {{prefix_key(99), backend_server_id("i-1")}};
    const auto decoded = decode_heartbeat(encode(heartbeat));
    REQUIRE(decoded.ok());
    CHECK(decoded->node == heartbeat.node);
    CHECK(decoded->start == heartbeat.start);
    CHECK(decoded->is_ready);
    CHECK_FALSE(decoded->is_leaving);
    CHECK(decoded->cores == 0.25);
    CHECK_FALSE(decoded->reaches_store);
    CHECK(decoded->follows_tables);
    CHECK(decoded->table_versions == heartbeat.table_versions);
    CHECK(decoded->has_usage_history);
    CHECK(decoded->holds_duties);
    CHECK(decoded->lease_record == "record");
    CHECK(decoded->lease_version == row_version(77));
    CHECK(decoded->spending[0].admitted == 1234.5);
    CHECK(decoded->spending[0].requested == 2000.0);
    CHECK(decoded->spending[0].level == -7.5);
    CHECK(decoded->usage == heartbeat.usage);
    CHECK(decoded->loads == heartbeat.loads);
    CHECK(decoded->demand == heartbeat.demand);
    REQUIRE(decoded->readings.size() == 1);
    CHECK(decoded->readings[0].key == prefix_key(99));
}

TEST_CASE("truncated or malformed heartbeats are rejected") {
    const std::string encoded = encode(peer_heartbeat{});
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        CHECK_FALSE(decode_heartbeat(std::string_view(encoded).substr(0, length)).ok());
    }
    CHECK_FALSE(decode_heartbeat("\xff\xff\xff\xff").ok());
    CHECK_FALSE(decode_heartbeat(std::string(64, '\x93')).ok());
}
