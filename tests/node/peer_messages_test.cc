#include "node/peer_messages.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("usage records decode to the same values, and truncated ones are rejected") {
    usage_ledger ledger(millis{5'000});
    ledger.count(customer_id("c"), wall_time(millis{36'000}));
    ledger.on_peer_counts(node_id("n2"), incarnation(5), usage_window(7), {{customer_id("d"), 4}});
    const std::string bytes = encode(ledger.records(node_id("n1"), incarnation(3)));
    const auto decoded = decode_usage(bytes);
    REQUIRE(decoded.ok());
    usage_ledger other(millis{5'000});
    for (const usage_record& record : *decoded) {
        other.on_peer_counts(record.node, record.start, record.window, record.counts);
    }
    CHECK(other.total(usage_window(7)) == ledger.total(usage_window(7)));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decode_usage(bytes.substr(0, length)).ok());
    }
}

TEST_CASE("rows with arbitrary bytes decode to the same values, and truncated ones are rejected") {
    table_rows rows;
    rows.batch.version = row_version(9);
    rows.batch.era = store_era(3);
    rows.batch.rows.push_back({"k", std::string("\xff\x00z", 3), row_version(8), false});
    rows.batch.rows.push_back({"gone", "", row_version(9), true});
    rows.changed_after = row_version(7);
    const std::string bytes = encode(rows);
    const auto decoded = decode_rows(bytes);
    REQUIRE(decoded.ok());
    CHECK(decoded->batch.version == rows.batch.version);
    CHECK(decoded->batch.era == rows.batch.era);
    CHECK(decoded->changed_after == rows.changed_after);
    REQUIRE(decoded->batch.rows.size() == 2);
    CHECK(decoded->batch.rows[0].value == rows.batch.rows[0].value);
    CHECK(decoded->batch.rows[1].removed);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(decode_rows(bytes.substr(0, length)).ok());
    }
}
