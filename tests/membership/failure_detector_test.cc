#include "jujubetide/membership/failure_detector.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

time_point at_second(std::int64_t seconds) {
    return time_point(micros(seconds * 1'000'000));
}

const node_id a("a");
const node_id b("b");

} // namespace

TEST_CASE("a silent neighbour is suspected once, then dead, then forgotten") {
    failure_detector detector({});
    detector.set_neighbours({a, b}, at_second(0));
    for (std::int64_t second = 1; second < 5; ++second) {
        detector.on_heard(b, at_second(second));
        CHECK(detector.check(at_second(second)).suspected.empty());
    }
    CHECK(detector.check(at_second(5)).suspected == std::vector<node_id>{a});
    detector.on_suspected(a, at_second(5));
    detector.on_heard(b, at_second(6));
    CHECK(detector.check(at_second(6)).suspected.empty());
    for (std::int64_t second = 7; second < 10; ++second) {
        CHECK(detector.check(at_second(second)).dead.empty());
    }
    CHECK(detector.check(at_second(10)).dead == std::vector<node_id>{a});
    detector.on_dead(a, at_second(10));
    std::vector<node_id> forgotten;
    for (std::int64_t second = 11; second <= 10 + 3 * 3600; ++second) {
        const failure_verdicts verdicts = detector.check(at_second(second));
        forgotten.insert(forgotten.end(), verdicts.forgotten.begin(), verdicts.forgotten.end());
    }
    CHECK(forgotten == std::vector<node_id>{a});
}

TEST_CASE("a refutation ends the suspicion") {
    failure_detector detector({});
    detector.on_suspected(a, at_second(0));
    detector.on_alive(a);
    for (std::int64_t second = 0; second < 20; ++second) {
        CHECK(detector.check(at_second(second)).dead.empty());
    }
}

TEST_CASE("a node that was suspended itself blames no neighbour") {
    failure_detector detector({});
    detector.set_neighbours({a}, at_second(0));
    detector.on_suspected(b, at_second(0));
    (void)detector.check(at_second(1));
    const failure_verdicts verdicts = detector.check(at_second(60));
    CHECK(verdicts.own_pause);
    CHECK(verdicts.suspected.empty());
    CHECK(verdicts.dead.empty());
    CHECK(detector.check(at_second(61)).suspected.empty());
}
