#include "control/move_codec.h"
#include "control/started_control.h"

using namespace jujubetide;
using nlohmann::json;

namespace {

constexpr std::int64_t due_ms = 1'800'000'000'000;

struct moving_control : started_control {
    moving_control() { REQUIRE(apply("bootstrap-key", "c1", 0, first_documents()).status == 200); }
    http_answer start(const std::string& id, const std::string& to) {
        const json body{{"id", id}, {"service", "diagnosis"}, {"to", to}, {"due_ms", due_ms}};
        return call("POST", "/v1/moves", "bela-key", body.dump());
    }
    http_answer take_back(const std::string& id) {
        return call("POST", "/v1/moves/" + id + "/take_back", "bela-key", "too slow");
    }
    /// What operators are told; the same in the list of moves and in the status.
    std::string told_state() {
        const json listed = json::parse(call("GET", "/v1/moves", "bela-key").body);
        const json status = json::parse(call("GET", "/v1/status", "bela-key").body);
        std::string state = listed["moves"][0]["state"];
        for (const json& service : status["services"]) {
            if (service["id"] == "diagnosis") {
                CHECK(service["move"]["state"] == state);
            }
        }
        return state;
    }
    move_state state() { return moves.find(service_id("diagnosis"))->value().move.state; }
};

} // namespace

TEST_CASE("a move is started once and taken back once") {
    moving_control control;
    CHECK(control.start("m1", "v2").status == 201);
    CHECK(control.start("m1", "v2").status == 200);
    CHECK(control.start("m2", "v2").status == 409);
    CHECK(control.boards.moves.of_service(service_id("diagnosis"))->id == move_id("m1"));
    CHECK(control.take_back("m1").status == 200);
    CHECK(control.take_back("m1").status == 200);
    CHECK(control.state() == move_state::taken_back);
    const json audit =
        json::parse(control.call("GET", "/v1/moves/audit/diagnosis", "bela-key").body);
    REQUIRE(audit["records"].size() == 2);
    CHECK(audit["records"][1]["actor"] == "bela");
    CHECK(audit["records"][1]["comment"] == "too slow");
    CHECK(control.start("m2", "v2").status == 201);
}

TEST_CASE("a move that cannot be right is refused") {
    moving_control control;
    CHECK(control.start("m1", "v1").status == 422);
    CHECK(control.start("m1", "v9").status == 422);
    CHECK(control.take_back("m1").status == 404);
    const json late{{"id", "m1"}, {"service", "diagnosis"}, {"to", "v2"}, {"due_ms", 5}};
    CHECK(control.call("POST", "/v1/moves", "bela-key", late.dump()).status == 422);
    const json unknown{{"id", "m1"}, {"service", "x"}, {"to", "v2"}, {"due_ms", due_ms}};
    CHECK(control.call("POST", "/v1/moves", "bela-key", unknown.dump()).status == 404);
    CHECK(control.call("POST", "/v1/moves", "bela-key", "{}").status == 400);
}

TEST_CASE("a lost reply to a start or a take-back is settled by the row") {
    moving_control control;
    control.rows.lose_next_commit_reply();
    CHECK(control.start("m1", "v2").status == 201);
    SECTION("the take-back took effect") {
        control.rows.lose_next_commit_reply();
    }
    SECTION("the take-back was lost") {
        control.rows.lose_next_commit();
    }
    CHECK(control.take_back("m1").status == 200);
    CHECK(control.state() == move_state::taken_back);
}

TEST_CASE("a step of a move whose reply is lost is settled by the row") {
    moving_control control;
    REQUIRE(control.start("m1", "v2").status == 201);
    const auto stored = control.moves.find(service_id("diagnosis"));
    version_move canary = (*stored)->move;
    canary.state = move_state::canary;
    canary.step = canary.step.next();
    control.rows.lose_next_commit_reply();
    CHECK(control.moves.write((*stored)->version, canary, {"control-1", "", {}}).ok());
    control.rows.lose_next_commit();
    const auto now = control.moves.find(service_id("diagnosis"));
    version_move ramp = canary;
    ramp.step = ramp.step.next();
    CHECK(absl::IsDeadlineExceeded(
        control.moves.write((*now)->version, ramp, {"control-1", "", {}})));
    CHECK(absl::IsAborted(control.moves.write((*stored)->version, ramp, {"control-2", "", {}})));
}

TEST_CASE(
    "while the table is down a take-back stops the traffic and says that it is not recorded") {
    moving_control control;
    REQUIRE(control.start("m1", "v2").status == 201);
    control.rows.set_down(true);
    CHECK(control.take_back("m1").status == 202);
    CHECK(control.boards.moves.of_service(service_id("diagnosis"))->share == 0.0);
    CHECK(control.boards.moves.of_service(service_id("diagnosis"))->state ==
          move_state::taken_back);
    CHECK(control.told_state() == "stopped");
    control.rows.set_down(false);
    CHECK(control.take_back("m1").status == 200);
    CHECK(control.state() == move_state::taken_back);
    CHECK(control.told_state() == "taken_back");
}

TEST_CASE("a done move is not taken back, and the next waits for the settings to name its end") {
    moving_control control;
    REQUIRE(control.start("m1", "v2").status == 201);
    const auto stored = control.moves.find(service_id("diagnosis"));
    version_move done = (*stored)->move;
    done.state = move_state::done;
    done.step = done.step.next();
    REQUIRE(control.moves.write((*stored)->version, done, {"control-1", "", {}}).ok());
    CHECK(control.take_back("m1").status == 409);
    CHECK(control.state() == move_state::done);
    const auto early = control.start("m2", "v2");
    CHECK(early.status == 409);
    CHECK_THAT(early.body, Catch::Contains("version: v2"));
    REQUIRE(
        control.apply("ana-key", "c2", 1, {{"/teams/frio/services/diagnosis", service_text("v2")}})
            .status == 200);
    CHECK(control.start("m2", "v1").status == 201);
}

TEST_CASE("a row of a move that cannot be read is an error, not a move") {
    CHECK_FALSE(decode_move("{}").ok());
    CHECK_FALSE(decode_move("nonsense").ok());
    version_move move;
    move.id = move_id("m");
    move.state = move_state::ramp;
    move.share = 0.25;
    const auto read = decode_move(encode_move(move));
    REQUIRE(read.ok());
    CHECK(read->state == move_state::ramp);
    CHECK(read->share == 0.25);
}
