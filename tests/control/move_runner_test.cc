#include "control/move_runner.h"
#include "control/own_facts.h"
#include "support/fake_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/moves/evidence_sender.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <map>

namespace jujubetide {
namespace {

/// Delivers one-way messages at once to the handler of the address.
class direct_link final : public peer_link {
public:
    std::map<endpoint, handler> handlers;
    /// Messages sent, by address.
    std::map<endpoint, int> sent;

protected:
    absl::Status do_send(const endpoint& peer, peer_message_kind kind, std::string body) override {
        ++sent[peer];
        const auto found = handlers.find(peer);
        if (found == handlers.end()) {
            return absl::UnavailableError("no such peer");
        }
        return found->second({node_id("peer"), kind, std::move(body)}).status();
    }
    absl::StatusOr<std::string> do_call(const endpoint& /*peer*/, peer_message_kind /*kind*/,
                                        std::string /*body*/, millis /*timeout*/) override {
        return absl::UnimplementedError("only one-way messages");
    }
    void do_set_handler(peer_message_kind /*kind*/, handler /*function*/) override {}
};

/// A control process that runs moves and one entry node, over a table in memory.
struct running_moves {
    fake_table rows;
    manual_clock time;
    quiet_log log;
    direct_link link;
    move_store store{rows};

    blackboard control_board;
    own_facts control_facts{control_board};
    lease_options options{lease_id("moves"), "c1/1"};
    lease_keeper lease{rows, time, log, options};
    move_runner runner{node_id("c1"),
                       {control_board, store, control_facts, link, lease, time, log}};

    /// Another control process, which steers once the first one is gone; it shares the board.
    member second_control = node("c2", node_role::control, 3);
    lease_options second_options{lease_id("moves"), "c2/1"};
    lease_keeper second_lease{rows, time, log, second_options};
    move_runner second_runner{node_id("c2"),
                              {control_board, store, control_facts, link, second_lease, time, log}};

    blackboard entry_board;
    own_facts entry_facts{entry_board};
    trial_version_selector selector{{node_id("n1"), incarnation(1)},
                                    {entry_board, time, entry_facts}};
    evidence_sender sender{{selector, entry_board, link}};
    service_settings service;
    version_move move;

    running_moves() {
        member control = node("c1", node_role::control, 1);
        member entry = node("n1", node_role::entry, 2);
        for (blackboard* board : {&control_board, &entry_board}) {
            board->members.merge(control);
            board->members.merge(entry);
        }
        link.handlers[control.peer_address] = [this](const peer_message& message) {
            return answered(runner.receive(message));
        };
        for (blackboard* board : {&control_board, &entry_board}) {
            board->members.merge(second_control);
        }
        link.handlers[second_control.peer_address] = [this](const peer_message& message) {
            return answered(second_runner.receive(message));
        };
        link.handlers[entry.peer_address] = [this](const peer_message& message) {
            return answered(sender.receive(message));
        };
        service.id = service_id("diagnosis");
        service.version = version_id("v1");
        move.id = move_id("m1");
        move.service = service.id;
        move.from = service.version;
        move.to = version_id("v2");
        move.start = time.wall_now();
        move.due = move.start + millis(3'600'000);
        REQUIRE(store.start(move, {"ana", "", move.start}).ok());
    }

    static member node(const std::string& name, node_role role, std::uint16_t port) {
        member made;
        made.node = node_id(name);
        made.role = role;
        made.peer_address = {"127.0.0.1", port};
        return made;
    }

    static absl::StatusOr<std::string> answered(const absl::Status& status) {
        return status.ok() ? absl::StatusOr<std::string>(std::string()) : status;
    }

    /// One second: the runner steps, its board's move reaches the entry, which reports.
    void run_second() {
        time.advance(micros(1'000'000));
        runner.step();
        if (const auto known = control_board.moves.of_service(service.id)) {
            entry_board.moves.merge(*known);
        }
        sender.send();
    }

    version_move row() { return (*store.find(service.id))->move; }

    int trial_requests() {
        int trial = 0;
        for (int i = 0; i < 2'000; ++i) {
            const request_id request("r" + std::to_string(i));
            trial += selector.select(service, route_id("a"), request) == move.to ? 1 : 0;
        }
        return trial;
    }
};

} // namespace

TEST_CASE("a move is raised under the lease and the entry sends to the version once confirmed") {
    running_moves moves;
    CHECK(moves.trial_requests() == 0);
    moves.run_second();
    moves.run_second();
    CHECK(moves.row().state == move_state::canary);
    moves.run_second();
    CHECK(moves.trial_requests() > 0);
}

TEST_CASE("evidence goes to the steering process only, and to the next one when that is gone") {
    running_moves moves;
    for (int i = 0; i < 20; ++i) {
        moves.run_second();
        moves.second_runner.step();
    }
    CHECK(moves.trial_requests() > 0);
    CHECK(moves.link.sent[moves.second_control.peer_address] == 0);
    const endpoint first{"127.0.0.1", 1};
    CHECK(moves.link.sent[first] >= 15);

    // The first process is gone; its lease ends and the second one goes on.
    moves.link.handlers.erase(first);
    const auto run_second_process = [&moves] {
        moves.time.advance(micros(1'000'000));
        moves.second_runner.step();
        moves.sender.send();
    };
    for (int i = 0; i < 40; ++i) {
        run_second_process();
    }
    CHECK(moves.trial_requests() > 0);
    const int before = moves.link.sent[first];
    for (int i = 0; i < 10; ++i) {
        run_second_process();
    }
    CHECK(moves.link.sent[first] == before);
}

TEST_CASE("the messages of a move do not grow with the control processes") {
    for (const int processes : {2, 50, 390}) {
        running_moves moves;
        for (int i = 3; i <= processes; ++i) {
            const auto port = static_cast<std::uint16_t>(1'000 + i);
            const std::string name = "c" + std::to_string(i);
            moves.entry_board.members.merge(running_moves::node(name, node_role::control, port));
        }
        for (int i = 0; i < 10; ++i) {
            moves.run_second();
        }
        moves.link.sent.clear();
        constexpr int seconds = 60;
        for (int i = 0; i < seconds; ++i) {
            moves.run_second();
        }
        int messages = 0;
        for (const auto& [address, count] : moves.link.sent) {
            messages += count;
        }
        std::cout << processes << " control processes: " << messages << " messages of one entry in "
                  << seconds << " s\n";
        // A report and its answer each second.
        CHECK(messages <= 2 * seconds);
    }
}

TEST_CASE("a process without the lease reads the moves rarely and still knows them") {
    running_moves moves;
    REQUIRE(moves.lease.step().ok());
    REQUIRE(moves.lease.held());
    const std::size_t before = moves.rows.scans();
    for (int i = 0; i < 60; ++i) {
        moves.time.advance(micros(1'000'000));
        if (i % 4 == 0) {
            REQUIRE(moves.lease.step().ok());
        }
        moves.second_runner.step();
    }
    // Once at its start and each 30 s.
    CHECK(moves.rows.scans() - before <= 3);
    CHECK(moves.control_board.moves.of_service(moves.service.id)->id == moves.move.id);
}

TEST_CASE("a process without the lease neither raises a move nor permits its traffic") {
    running_moves moves;
    lease_options other = moves.options;
    other.holder = "c2/1";
    lease_keeper holder(moves.rows, moves.time, moves.log, other);
    REQUIRE(holder.step().ok());
    REQUIRE(holder.held());
    for (int i = 0; i < 3; ++i) {
        moves.run_second();
    }
    CHECK(moves.row().state == move_state::planned);
    CHECK(moves.trial_requests() == 0);
}

TEST_CASE("trial traffic ends when the lease lapses with the table down") {
    running_moves moves;
    for (int i = 0; i < 3; ++i) {
        moves.run_second();
    }
    moves.rows.set_down(true);
    for (int i = 0; i < 25; ++i) {
        moves.run_second();
    }
    CHECK(moves.trial_requests() == 0);
}

TEST_CASE("a stop while the table is down is recorded once it is back and never becomes done") {
    running_moves moves;
    for (int i = 0; i < 3; ++i) {
        moves.run_second();
    }
    moves.rows.set_down(true);
    moves.control_board.moves.take_back(moves.service.id, moves.move.id, "errors");
    moves.run_second();
    CHECK(moves.trial_requests() == 0);
    CHECK_FALSE(is_recorded_end(*moves.control_board.moves.of_service(moves.service.id)));

    moves.rows.set_down(false);
    moves.run_second();
    CHECK(moves.row().state == move_state::taken_back);
    CHECK(moves.row().evidence == "errors");
    CHECK(is_recorded_end(moves.row()));
    for (int i = 0; i < 3; ++i) {
        moves.run_second();
    }
    CHECK(moves.row().state == move_state::taken_back);
    CHECK(is_recorded_end(*moves.entry_board.moves.of_service(moves.service.id)));
}

TEST_CASE("an entry's stop that only its report tells makes the move taken back") {
    running_moves moves;
    for (int i = 0; i < 3; ++i) {
        moves.run_second();
    }
    moves.entry_board.moves.take_back(moves.service.id, moves.move.id, "errors");
    moves.run_second();
    moves.run_second();
    CHECK(moves.row().state == move_state::taken_back);
}

} // namespace jujubetide
