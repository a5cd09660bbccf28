#include "support/manual_clock.h"

#include "jujubetide/moves/trial_version_selector.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

class counting_publisher final : public fact_publisher {
public:
    std::vector<version_move> moves;

protected:
    void do_leaving_host(const host_id& /*host*/) override {}
    void do_move(const version_move& record) override { moves.push_back(record); }
    void do_settings(const snapshot_ptr& /*snapshot*/) override {}
    void do_leaving_self() override {}
};

struct selector_fixture {
    blackboard board;
    manual_clock time;
    counting_publisher publisher;
    trial_version_selector selector{{node_id("n1"), incarnation(1)}, {board, time, publisher}};
    service_settings service;
    version_move move;
    const route_id route{"main"};

    selector_fixture() {
        service.id = service_id("diagnosis");
        service.version = version_id("v1");
        service.routes.resize(1);
        move.id = move_id("m1");
        move.service = service.id;
        move.from = service.version;
        move.to = version_id("v2");
        move.start = time.wall_now();
        move.due = move.start + millis(3'600'000);
        move.state = move_state::canary;
        move.share = 0.1;
        move.step = sequence_number(1);
        board.moves.merge(move);
        selector.confirm(service.id, move.id, move.step, time.now());
    }

    version_id select(int request) {
        return selector.select(service, route, request_id("r" + std::to_string(request)));
    }

    void record(const version_id& version, bool failed) {
        version_outcome outcome{service.id, route,           version,   backend_server_id("e1"),
                                failed,     micros(100'000), time.now()};
        selector.record(outcome);
    }
};

} // namespace

TEST_CASE("a node that joins a move long after its start does not test the windows before") {
    selector_fixture run;
    version_move old = run.move;
    old.id = move_id("m2");
    old.start = run.move.start + millis(1);
    old.due = old.start + millis(60'000);
    run.board.moves.merge(old);
    constexpr std::chrono::hours days_later{24 * 5'000};
    run.time.advance(days_later);
    run.record(run.move.from, false);
    run.time.advance(std::chrono::seconds(60));
    run.record(run.move.from, false);
    CHECK(run.publisher.moves.empty());
}

TEST_CASE("the version under trial gets its share, the same requests each time") {
    selector_fixture fixture;
    int trial = 0;
    for (int i = 0; i < 10'000; ++i) {
        trial += fixture.select(i) == fixture.move.to ? 1 : 0;
    }
    CHECK(trial > 850);
    CHECK(trial <= 1'016);
    CHECK(fixture.select(7) == fixture.select(7));
}

TEST_CASE("retries do not raise the share of the version under trial") {
    selector_fixture fixture;
    int trial = 0;
    constexpr int requests = 2'000;
    constexpr int attempts_of_trial = 5;
    for (int i = 0; i < requests; ++i) {
        for (int attempt = 0; attempt < attempts_of_trial; ++attempt) {
            if (fixture.select(i) != fixture.move.to) {
                break;
            }
            ++trial;
        }
    }
    CHECK(trial <= 0.1 * (requests + 4.0 * trial) + 17);
}

TEST_CASE("a node that the steering node does not answer stops sending to the version") {
    selector_fixture fixture;
    const auto trial_requests = [&fixture] {
        int trial = 0;
        for (int i = 0; i < 1'000; ++i) {
            trial += fixture.select(i) == fixture.move.to ? 1 : 0;
        }
        return trial;
    };
    CHECK(trial_requests() > 0);
    fixture.time.advance(micros(5'000'000));
    CHECK(trial_requests() == 0);
    // An answer from a node that knows a newer step permits nothing.
    fixture.selector.confirm(fixture.service.id, fixture.move.id, sequence_number(2),
                             fixture.time.now());
    CHECK(trial_requests() == 0);
    fixture.selector.confirm(fixture.service.id, fixture.move.id, sequence_number(1),
                             fixture.time.now());
    CHECK(trial_requests() > 0);
}

TEST_CASE("a clear fault at this node stops the version there at once and is published once") {
    selector_fixture fixture;
    for (int window = 0; window < 12; ++window) {
        for (int i = 0; i < 40; ++i) {
            fixture.record(fixture.move.from, false);
        }
        fixture.record(fixture.move.to, true);
        fixture.record(fixture.move.to, true);
        fixture.time.advance(micros(12'000'000));
    }
    REQUIRE(fixture.publisher.moves.size() == 1);
    CHECK(fixture.publisher.moves[0].state == move_state::taken_back);
    CHECK_FALSE(is_recorded_end(fixture.publisher.moves[0]));
    for (int i = 0; i < 1'000; ++i) {
        CHECK(fixture.select(i) == fixture.move.from);
    }
}

TEST_CASE("a finished move gives the new version until the settings name it") {
    selector_fixture fixture;
    fixture.move.state = move_state::done;
    fixture.move.step = sequence_number(2);
    fixture.move.ended = fixture.time.wall_now();
    fixture.board.moves.merge(fixture.move);
    CHECK(fixture.select(1) == fixture.move.to);
    fixture.service.version = version_id("v3");
    CHECK(fixture.select(1) == version_id("v3"));
}

TEST_CASE("few servers of the version under trial take its traffic") {
    selector_fixture fixture;
    std::vector<backend_server_settings> servers(8);
    std::vector<const backend_server_settings*> candidates;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = backend_server_id("e" + std::to_string(i));
        servers[i].host = host_id("h" + std::to_string(i));
        servers[i].version = i < 4 ? fixture.move.from : fixture.move.to;
        candidates.push_back(&servers[i]);
    }
    const auto kept = fixture.selector.trial_servers(fixture.service.id, candidates);
    REQUIRE(kept.size() == 5);
    const backend_server_settings* trial = kept.back();
    CHECK(trial->version == fixture.move.to);

    fixture.board.backends.mark_leaving(trial->host);
    const auto after = fixture.selector.trial_servers(fixture.service.id, candidates);
    REQUIRE(after.size() == 5);
    CHECK(after.back()->id != trial->id);
}

TEST_CASE("a report carries the last windows and whether the node has stopped") {
    selector_fixture fixture;
    CHECK_FALSE(fixture.selector.report(service_id("other")).has_value());
    fixture.record(fixture.move.to, true);
    const auto report = fixture.selector.report(fixture.service.id);
    REQUIRE(report.has_value());
    CHECK(report->cells.size() == 1);
    CHECK_FALSE(report->stopped);
    fixture.board.moves.take_back(fixture.service.id, fixture.move.id, "operator");
    CHECK(fixture.selector.report(fixture.service.id)->stopped);
}

} // namespace jujubetide
