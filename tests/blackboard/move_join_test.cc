#include "support/fixed_seed_check.h"

#include "jujubetide/blackboard/move_board.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace jujubetide {
namespace {

constexpr std::uint64_t property_seed = 20'261'203;

version_move arbitrary_move() {
    version_move move;
    move.id = move_id(*rc::gen::element(std::string("m1"), std::string("m2")));
    move.service = service_id("diagnosis");
    move.start = wall_time(millis(move.id.str() == "m1" ? 0 : *rc::gen::inRange(0, 2)));
    move.state = static_cast<move_state>(*rc::gen::inRange(0, 5));
    move.share = *rc::gen::inRange(0, 3) / 4.0;
    move.step = sequence_number(*rc::gen::inRange(0, 4));
    move.evidence = *rc::gen::element(std::string(), std::string("errors"));
    move.ended = wall_time(millis(*rc::gen::inRange(0, 2)));
    return move;
}

version_move merged(const std::vector<version_move>& moves) {
    move_board board;
    for (const version_move& move : moves) {
        board.merge(move);
    }
    return *board.of_service(service_id("diagnosis"));
}

bool same(const version_move& a, const version_move& b) {
    return a.id == b.id && a.start == b.start && a.state == b.state && a.share == b.share &&
           a.step == b.step && a.evidence == b.evidence && a.ended == b.ended;
}

} // namespace

TEST_CASE("move records join alike in any order and repetition") {
    CHECK(fixed_seed_check("join moves", property_seed, 2'000, [] {
        const auto a = arbitrary_move();
        const auto b = arbitrary_move();
        const auto c = arbitrary_move();
        RC_ASSERT(same(merged({a, b}), merged({b, a})));
        RC_ASSERT(same(merged({a, b, c}), merged({c, b, a})));
        RC_ASSERT(same(merged({a, merged({b, c})}), merged({merged({a, b}), c})));
        RC_ASSERT(same(merged({a, a}), a));
    }));
}

TEST_CASE("a take-back that is not recorded yields to the end that the table recorded") {
    move_board board;
    version_move move;
    move.id = move_id("m1");
    move.service = service_id("diagnosis");
    move.state = move_state::ramp;
    move.step = sequence_number(3);
    board.merge(move);
    board.take_back(move.service, move.id, "errors");
    CHECK_FALSE(is_recorded_end(*board.of_service(move.service)));

    move.state = move_state::done;
    move.step = sequence_number(4);
    move.ended = wall_time(millis(6));
    CHECK(board.merge(move));
    CHECK(board.of_service(move.service)->state == move_state::done);
    CHECK(is_recorded_end(*board.of_service(move.service)));
    CHECK_FALSE(board.take_back(move.service, move.id, "errors"));
}

} // namespace jujubetide
