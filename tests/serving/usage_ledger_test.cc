#include "jujubetide/serving/usage_ledger.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const customer_id customer("c");
constexpr wall_time in_window_7{millis{7 * 5'000 + 100}};

} // namespace

TEST_CASE("calls count in the window in which they began") {
    usage_ledger ledger(millis{5'000});
    ledger.count(customer, in_window_7);
    ledger.count(customer, in_window_7 + millis{4'899});
    ledger.count(customer, in_window_7 + millis{4'900});
    CHECK(ledger.total(usage_window(7)).at(customer) == 2);
    CHECK(ledger.total(usage_window(8)).at(customer) == 1);
    CHECK(ledger.end_of(usage_window(7)) == wall_time(millis{40'000}));
}

TEST_CASE(
    "a peer's counts replace its earlier report; the counts before a peer's restart are kept") {
    usage_ledger ledger(millis{5'000});
    ledger.count(customer, in_window_7);
    const node_id peer("p");
    const usage_window window(7);
    ledger.on_peer_counts(peer, incarnation(1), window, {{customer, 3}});
    ledger.on_peer_counts(peer, incarnation(1), window, {{customer, 5}});
    CHECK(ledger.total(window).at(customer) == 6);
    ledger.on_peer_counts(peer, incarnation(2), window, {{customer, 2}});
    CHECK(ledger.total(window).at(customer) == 8);
}

TEST_CASE("old windows are dropped") {
    usage_ledger ledger(millis{5'000});
    ledger.count(customer, in_window_7);
    ledger.count(customer, in_window_7 + millis{5'000} * (usage_ledger::retained_windows + 1));
    CHECK(ledger.own().size() == 1);
}
