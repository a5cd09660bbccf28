#include "support/fixed_seed_check.h"

#include "jujubetide/moves/move_evidence_codec.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

evidence_report sample_report() {
    evidence_report report{move_id("m1"),
                           service_id("s"),
                           {node_id("n1"), incarnation(7)},
                           sequence_number(3),
                           true,
                           {}};
    report.sent_at = time_point(micros(77));
    evidence_cell cell;
    cell.key = {route_id("main"), move_window(12), trial_arm::trial};
    cell.counts.add(true, micros(0));
    cell.counts.add(false, micros(90'000));
    report.cells.push_back(cell);
    return report;
}

} // namespace

TEST_CASE("an evidence report survives its encoding") {
    const auto read = decode_evidence_report(encode_evidence_report(sample_report()));
    REQUIRE(read.ok());
    CHECK(read->move == move_id("m1"));
    CHECK(read->owner == evidence_owner{node_id("n1"), incarnation(7)});
    CHECK(read->step == sequence_number(3));
    CHECK(read->stopped);
    CHECK(read->sent_at == time_point(micros(77)));
    CHECK(read->cells == sample_report().cells);
}

TEST_CASE("an evidence answer survives its encoding and a report is none") {
    const evidence_answer answer{service_id("s"), move_id("m1"), sequence_number(4),
                                 time_point(micros(9)), node_id("c1")};
    const auto read = decode_evidence_answer(encode_evidence_answer(answer));
    REQUIRE(read.ok());
    CHECK(read->step == sequence_number(4));
    CHECK(read->sent_at == time_point(micros(9)));
    CHECK(read->steering == node_id("c1"));
    CHECK_FALSE(decode_evidence_answer(encode_evidence_report(sample_report())).ok());
}

TEST_CASE("malformed evidence reports are refused") {
    const std::string whole = encode_evidence_report(sample_report());
    CHECK_FALSE(decode_evidence_report(whole + "x").ok());
    evidence_report impossible = sample_report();
    impossible.cells[0].counts.failures = 9;
    CHECK_FALSE(decode_evidence_report(encode_evidence_report(impossible)).ok());
    CHECK(fixed_seed_check("decode evidence", 20'261'203, 2'000, [&whole] {
        std::string body = whole;
        body.at(*rc::gen::inRange<std::size_t>(0, body.size())) = *rc::gen::arbitrary<char>();
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        (void)decode_evidence_report(body);
    }));
}

TEST_CASE("a body that claims more than it holds is refused before memory is taken for it") {
    // An array of 2^28 elements, of which none follows.
    const auto read = decode_evidence_report(std::string("\xdd\x10\x00\x00\x00", 5));
    CHECK_THAT(std::string(read.status().message()), Catch::Contains("overflow"));
}

} // namespace jujubetide
