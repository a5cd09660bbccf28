#include "jujubetide/moves/move_controller.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

constexpr millis hour{3'600'000};

/// Steers one move on a table that takes every record, with one entry node that reports healthy
/// traffic each window.
struct steering {
    version_move row;
    wall_time now{millis(1'800'000'000'000)};
    const node_id entry{"n1"};
    std::unique_ptr<move_controller> controller;
    bool entry_reports = true;

    steering() {
        row.id = move_id("m1");
        row.service = service_id("assistant");
        row.from = version_id("v1");
        row.to = version_id("v2");
        row.start = now;
        row.due = now + hour;
        restart();
    }

    void restart() {
        controller =
            std::make_unique<move_controller>(row, move_controller_settings{0.1, 1, 0.005});
    }

    evidence_report report() const {
        evidence_report made{row.id, row.service, {entry, incarnation(1)}, row.step, false, {}, {}};
        for (const trial_arm arm : {trial_arm::baseline, trial_arm::trial}) {
            evidence_cell cell;
            cell.key = {route_id("main"), move_window_at(row, now), arm};
            const std::uint32_t count = arm == trial_arm::trial ? 10 : 100;
            cell.counts.requests = count;
            cell.counts.latencies.add_bucket(20, count);
            made.cells.push_back(cell);
        }
        return made;
    }

    move_action decide() { return controller->decide(row, {entry}, now); }

    /// Runs for `length` and returns how many steps were written.
    int run(millis length) {
        int written = 0;
        for (const wall_time end = now + length; now < end; now += millis(4'000)) {
            if (entry_reports) {
                controller->receive(report(), now);
            }
            const move_action action = decide();
            if (action.what != move_action::kind::none) {
                row = action.record;
                ++written;
            }
        }
        return written;
    }
};

} // namespace

TEST_CASE("a move without faults goes through its steps and is done before it is due") {
    steering move;
    const auto steps = static_cast<int>(move.controller->plan().steps.size());
    CHECK(move.run(hour) == steps + 1);
    CHECK(move.row.state == move_state::done);
    CHECK(is_recorded_end(move.row));
    CHECK(move.row.ended <= move.row.due);
}

TEST_CASE("a controller made anew at any step goes on from the recorded step") {
    for (int minutes = 1; minutes < 50; minutes += 6) {
        steering move;
        move.run(minutes * millis(60'000));
        const version_move before = move.row;
        move.restart();
        move.run(millis(4'000));
        CHECK(move.row.share >= before.share);
        CHECK(move.row.step <= before.step.next());
        move.run(hour);
        CHECK(move.row.state == move_state::done);
        CHECK(move.row.ended <= move.row.due);
    }
}

TEST_CASE("a move is not done while a reachable entry has not confirmed the last step") {
    steering move;
    const auto steps = move.controller->plan().steps.size();
    while (move.row.step.value() < steps) {
        move.run(millis(4'000));
    }
    const node_id silent("n2");
    const version_move last_step = move.row;
    for (int i = 0; i < 150; ++i) {
        move.controller->receive(move.report(), move.now);
        CHECK(move.controller->decide(last_step, {move.entry, silent}, move.now).what ==
              move_action::kind::none);
        move.now += millis(4'000);
    }
    move.controller->receive(move.report(), move.now);
    // An entry that is known to be dead does not hold the move up.
    CHECK(move.decide().what == move_action::kind::finish);
}

TEST_CASE("a node that has stopped makes the controller take the move back") {
    steering move;
    move.run(millis(600'000));
    evidence_report stopped = move.report();
    stopped.stopped = true;
    move.controller->receive(stopped, move.now);
    const move_action action = move.decide();
    CHECK(action.what == move_action::kind::take_back);
    CHECK(is_recorded_end(action.record));
    CHECK(action.record.share == 0.0);
}

TEST_CASE("a take-back that the table has not recorded is recorded and an end is left alone") {
    steering move;
    move.run(millis(600'000));
    move.row.state = move_state::taken_back;
    move.row.evidence = "operator";
    const move_action action = move.decide();
    CHECK(action.what == move_action::kind::take_back);
    CHECK(action.record.evidence == "operator");
    move.row = action.record;
    CHECK(move.decide().what == move_action::kind::none);
}

TEST_CASE("a move without traffic is not raised and is taken back when long overdue") {
    steering move;
    move.entry_reports = false;
    move.run(hour);
    CHECK(move.row.state == move_state::canary);
    move.run(hour + millis(8'000));
    CHECK(move.row.state == move_state::taken_back);
}

} // namespace jujubetide
