#include "entry/hand_over.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("a hand-over record survives its encoding") {
    hand_over_record record;
    record.request = request_id("r-1");
    record.service = service_id("diagnosis");
    record.prompt = "why";
    record.pieces = {"one ", "two"};
    record.time_left = millis{1'200};
    const auto read = decode_hand_over(encode(record));
    REQUIRE(read.ok());
    CHECK(read->request == record.request);
    CHECK(read->pieces == record.pieces);
    CHECK(read->time_left == record.time_left);
    CHECK(encode(*read) == encode(record));
}

TEST_CASE("bytes that claim more than they hold are refused before memory is taken for it") {
    // An array of 2^28 elements, of which none follows.
    const auto read = decode_hand_over(std::string("\xdd\x10\x00\x00\x00", 5));
    CHECK(absl::IsDataLoss(read.status()));
    CHECK_THAT(std::string(read.status().message()), Catch::Contains("overflow"));
    CHECK_FALSE(decode_hand_over(encode(hand_over_record()) + "x").ok());
}
