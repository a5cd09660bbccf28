#include "jujubetide/blackboard/blackboard.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

snapshot_ptr snapshot_at(std::uint64_t number) {
    settings_snapshot::parts parts;
    parts.at = revision(number);
    return settings_snapshot::make(std::move(parts));
}

} // namespace

TEST_CASE("settings never revert") {
    settings_board board;
    CHECK(board.current() == nullptr);
    CHECK(board.offer(snapshot_at(2)));
    CHECK_FALSE(board.offer(snapshot_at(1)));
    CHECK_FALSE(board.offer(snapshot_at(2)));
    CHECK(board.current()->at() == revision(2));
}

TEST_CASE("a leaving host stays marked and is told as new once") {
    backend_board board;
    CHECK(board.mark_leaving(host_id("h1")));
    CHECK_FALSE(board.mark_leaving(host_id("h1")));
    CHECK(board.is_leaving(host_id("h1")));
    CHECK_FALSE(board.is_leaving(host_id("h2")));
}

TEST_CASE("an older load report changes nothing") {
    backend_board board;
    const backend_server_id id("e1");
    load_report load;
    load.sequence = sequence_number(5);
    load.running = 7;
    board.report_load(id, load, time_point(micros(10)));
    board.on_sent(id, token_count(100));
    load.sequence = sequence_number(4);
    load.running = 1;
    board.report_load(id, load, time_point(micros(20)));
    CHECK(board.state(id).load.running == 7);
    CHECK(board.state(id).own_sent_since_load == 1);
}

TEST_CASE("a move that was taken back stays taken back") {
    move_board board;
    version_move move;
    move.id = move_id("m1");
    move.service = service_id("diagnosis");
    move.state = move_state::ramp;
    move.step = sequence_number(3);
    CHECK(board.merge(move));
    CHECK(board.take_back(move.service, move.id, "errors"));
    move.step = sequence_number(9);
    CHECK_FALSE(board.merge(move));
    CHECK(board.of_service(move.service)->state == move_state::taken_back);
}

TEST_CASE("two nodes that took a version back on different evidence end with the same record") {
    version_move move;
    move.id = move_id("m1");
    move.service = service_id("diagnosis");
    move.state = move_state::ramp;
    move_board first;
    move_board second;
    first.merge(move);
    second.merge(move);
    first.take_back(move.service, move.id, "errors");
    second.take_back(move.service, move.id, "slow");
    const version_move from_first = *first.of_service(move.service);
    first.merge(*second.of_service(move.service));
    second.merge(from_first);
    CHECK(first.of_service(move.service)->evidence == second.of_service(move.service)->evidence);
}

TEST_CASE("taking back an unknown move leaves no record") {
    move_board board;
    CHECK_FALSE(board.take_back(service_id("diagnosis"), move_id("m1"), "errors"));
    CHECK_FALSE(board.of_service(service_id("diagnosis")).has_value());
    CHECK(board.all().empty());
}
