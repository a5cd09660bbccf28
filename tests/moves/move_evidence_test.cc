#include "support/fixed_seed_check.h"

#include "jujubetide/moves/move_evidence.h"
#include "jujubetide/moves/move_tests.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

struct owned_cells {
    evidence_owner owner;
    std::vector<evidence_cell> cells;
};

owned_cells arbitrary_cells() {
    owned_cells made;
    made.owner.node = node_id(*rc::gen::element(std::string("n1"), std::string("n2")));
    evidence_cell cell;
    cell.key.route = route_id(*rc::gen::element(std::string("a"), std::string("b")));
    cell.key.window = move_window(*rc::gen::inRange(0, 3));
    cell.key.arm = static_cast<trial_arm>(*rc::gen::inRange(0, 2));
    cell.counts.requests = *rc::gen::inRange(0, 9);
    cell.counts.failures = *rc::gen::inRange(0, 9);
    cell.counts.latencies.add_bucket(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 9));
    made.cells.push_back(cell);
    return made;
}

move_evidence merged(const std::vector<owned_cells>& list) {
    move_evidence evidence;
    for (const owned_cells& part : list) {
        evidence.merge(part.owner, part.cells);
    }
    return evidence;
}

/// Adds `count` requests of one latency to an arm.
void add_latencies(outcome_counts& counts, int count, micros latency) {
    for (int i = 0; i < count; ++i) {
        counts.add(false, latency);
    }
}

} // namespace

TEST_CASE("evidence merges alike in any order and repetition") {
    CHECK(fixed_seed_check("merge evidence", 20'261'203, 500, [] {
        const auto a = arbitrary_cells();
        const auto b = arbitrary_cells();
        const auto c = arbitrary_cells();
        RC_ASSERT(merged({a, b, c}) == merged({c, b, a}));
        RC_ASSERT(merged({a, b, a, b}) == merged({a, b}));
    }));
}

TEST_CASE("totals sum the nodes of one window and forgetting drops older windows") {
    move_evidence evidence;
    const evidence_cell_key key{route_id("a"), move_window(4), trial_arm::trial};
    evidence.add({node_id("n1"), incarnation(1)}, key, true, micros(0));
    evidence.add({node_id("n2"), incarnation(1)}, key, false, micros(2'000));
    CHECK(evidence.totals(move_window(4)).at(route_id("a"))[1].requests == 2);
    CHECK(evidence.totals(move_window(4)).at(route_id("a"))[1].failures == 1);
    CHECK(evidence.totals(move_window(3)).empty());
    evidence.forget_before(move_window(5));
    CHECK(evidence.cell_count() == 0);
}

TEST_CASE("a version that is slow on one route only is found on that route") {
    move_tests tests(600);
    const double threshold = alarm_budget{0.005, 2, 14}.steering_threshold();
    for (int window = 0; window < 40; ++window) {
        std::map<route_id, move_evidence::arm_counts> totals;
        add_latencies(totals[route_id("good")][0], 200, micros(100'000 + window));
        add_latencies(totals[route_id("good")][1], 4, micros(120'000));
        add_latencies(totals[route_id("slow")][0], 20, micros(100'000));
        add_latencies(totals[route_id("slow")][1], 2, micros(300'000));
        tests.add(totals);
    }
    const auto fault = tests.fault(threshold);
    REQUIRE(fault.has_value());
    CHECK(fault->route == route_id("slow"));
    CHECK(fault->kind == "latency");
    CHECK(tests.suspicious(threshold));
}

TEST_CASE("a version that is slower within the tolerance is not at fault") {
    move_tests tests(600);
    for (int window = 0; window < 300; ++window) {
        std::map<route_id, move_evidence::arm_counts> totals;
        add_latencies(totals[route_id("a")][0], 100, micros(100'000));
        add_latencies(totals[route_id("a")][1], 50, micros(125'000));
        tests.add(totals);
    }
    CHECK_FALSE(tests.fault(3.0).has_value());
}

} // namespace jujubetide
