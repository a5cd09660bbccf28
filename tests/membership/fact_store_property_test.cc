// Facts join in any order, with repetitions and losses, to the same state.
#include "support/fixed_seed_check.h"

#include "jujubetide/membership/fact_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <variant>

using namespace jujubetide;

namespace {

constexpr std::uint64_t seed = 20'261'203;
const wall_time now{millis(1'800'000'000'000)};

/// The body is a function of node and incarnation, as only the node itself makes it.
member arbitrary_member() {
    member record;
    const auto node = *rc::gen::inRange(0, 4);
    record.node = node_id("n" + std::to_string(node));
    record.at = incarnation(static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)));
    record.peer_address = {"10.0.0." + std::to_string(node),
                           static_cast<std::uint16_t>(record.at.value())};
    record.health = static_cast<member_health>(*rc::gen::inRange(0, 3));
    record.leaving = *rc::gen::arbitrary<bool>();
    record.settings = revision(static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)));
    return record;
}

version_move arbitrary_move() {
    version_move move;
    const auto number = *rc::gen::inRange(0, 3);
    move.service = service_id("s");
    move.id = move_id("m" + std::to_string(number));
    move.start = wall_time(millis(number / 2));
    move.state = static_cast<move_state>(*rc::gen::inRange(0, 5));
    move.step = sequence_number(static_cast<std::uint64_t>(*rc::gen::inRange(0, 3)));
    move.share = *rc::gen::inRange(0, 3) / 2.0;
    move.evidence = *rc::gen::element<std::string>("", "errors", "slow");
    move.ended = wall_time(millis(*rc::gen::inRange(0, 2)));
    return move;
}

leaving_host arbitrary_host() {
    return {host_id("h" + std::to_string(*rc::gen::inRange(0, 3))),
            now - millis(*rc::gen::inRange(0, 5))};
}

bool equal(const version_move& a, const version_move& b) {
    return identity_of(a) == identity_of(b);
}

bool equal(const member& a, const member& b) {
    return identity_of(a) == identity_of(b) && a.peer_address == b.peer_address;
}

template <class Value, class Join>
void check_semilattice(const Value& a, const Value& b, const Value& c, Join&& join) {
    RC_ASSERT(equal(join(a, b), join(b, a)));
    RC_ASSERT(equal(join(a, join(b, c)), join(join(a, b), c)));
    RC_ASSERT(equal(join(a, a), a));
}

using fact = std::variant<member, version_move, leaving_host>;

fact arbitrary_fact() {
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return arbitrary_member();
    case 1:
        return arbitrary_move();
    default:
        return arbitrary_host();
    }
}

void join(fact_store& store, const fact& told) {
    if (const auto* record = std::get_if<member>(&told)) {
        store.join(*record);
    } else if (const auto* move = std::get_if<version_move>(&told)) {
        store.join(*move);
    } else {
        store.join(std::get<leaving_host>(told), now);
    }
}

std::vector<fact> arbitrary_facts() {
    std::vector<fact> facts;
    for (int i = *rc::gen::inRange(0, 25); i > 0; --i) {
        facts.push_back(arbitrary_fact());
    }
    return facts;
}

/// Sends all that `from` knows in differing buckets, as a repair does.
void repair(const fact_store& from, fact_store& to) {
    for (std::size_t bucket = 0; bucket < fact_store::bucket_count; ++bucket) {
        if (from.buckets()[bucket] == to.buckets()[bucket]) {
            continue;
        }
        for (const fact_key& key : from.keys_in(bucket)) {
            if (const member* record = from.find_member(node_id(key.id));
                record != nullptr && key.kind == fact_kind::member) {
                to.join(*record);
            } else if (const auto move = from.find_move(key.id);
                       move && key.kind == fact_kind::move) {
                to.join(*move);
            } else if (const leaving_host* host = from.find_host(key.id);
                       host != nullptr && key.kind == fact_kind::leaving_host) {
                to.join(*host, now);
            }
        }
    }
}

} // namespace

TEST_CASE("member records join commutatively, associatively and idempotently") {
    CHECK(fixed_seed_check("join_members", seed, 400, [] {
        const auto same_node = [] {
            member record = arbitrary_member();
            record.node = node_id("n");
            record.peer_address.address = "10.0.0.1";
            return record;
        };
        const member a = same_node();
        const member b = same_node();
        check_semilattice(a, b, same_node(), join_members);
    }));
}

TEST_CASE("moves join commutatively, associatively and idempotently") {
    CHECK(fixed_seed_check("join_moves", seed, 400, [] {
        const auto same_move = [] {
            version_move move = arbitrary_move();
            move.id = move_id("m");
            move.start = wall_time{};
            return move;
        };
        const version_move a = same_move();
        const version_move b = same_move();
        check_semilattice(a, b, same_move(), join_moves);
        // The end that the table recorded binds; a node's own take-back only stops the traffic.
        const auto is_state = [](move_state state) {
            return [state](const version_move& move) { return move.state == state; };
        };
        const std::array<version_move, 2> both = {a, b};
        const bool recorded = std::any_of(both.begin(), both.end(), [](const version_move& move) {
            return move.state == move_state::taken_back && is_recorded_end(move);
        });
        const bool any_done = std::any_of(both.begin(), both.end(), is_state(move_state::done));
        const bool any_taken_back =
            std::any_of(both.begin(), both.end(), is_state(move_state::taken_back));
        RC_ASSERT((join_moves(a, b).state == move_state::taken_back) ==
                  (recorded || (any_taken_back && !any_done)));
        RC_ASSERT((join_moves(a, b).state == move_state::done) == (any_done && !recorded));
    }));
}

TEST_CASE("whole boards join to the same state under reorder, repetition, loss and repair") {
    CHECK(fixed_seed_check("fact_store", seed, 400, [] {
        const std::vector<fact> facts = arbitrary_facts();
        blackboard first_board;
        blackboard second_board;
        fact_store first(first_board);
        fact_store second(second_board);
        for (const fact& told : facts) {
            join(first, told);
        }
        std::vector<fact> mixed = facts;
        for (std::size_t i = mixed.size(); i > 1; --i) {
            std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        for (const fact& told : mixed) {
            const int times = *rc::gen::inRange(0, 3);
            for (int i = 0; i < times; ++i) {
                join(second, told);
            }
        }
        repair(first, second);
        repair(second, first);
        RC_ASSERT(first.buckets() == second.buckets());
        RC_ASSERT(first.root_hash() == second.root_hash());
        for (const auto& [node, record] : first.members()) {
            if (record.health != member_health::dead) {
                RC_ASSERT(equal(record, second.members().at(node)));
            }
        }
    }));
}
