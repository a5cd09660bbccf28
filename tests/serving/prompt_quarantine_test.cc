#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/prompt_quarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

using namespace jujubetide;

namespace {

std::vector<prompt_part> prompt(const std::vector<std::string>& ids) {
    std::vector<prompt_part> parts;
    parts.reserve(ids.size());
    for (const std::string& id : ids) {
        parts.push_back({id, 100});
    }
    return parts;
}

time_point at(int ms) {
    return time_point{} + std::chrono::hours(1) + millis(ms);
}

server_run_id run(int number) {
    return server_run_id("i-" + std::to_string(number) + "/1");
}

const std::vector<prompt_part> bad = prompt({"shared", "bad", "own"});
const std::vector<prompt_part> good = prompt({"shared", "good", "own"});

/// As many parts as fit into a request's head, one of them `bad`, and a part of the call's own.
std::vector<prompt_part> long_prompt(const std::string& own) {
    constexpr int part_count = 2'539;
    std::vector<prompt_part> parts;
    parts.reserve(part_count + 2);
    for (int i = 0; i < part_count; ++i) {
        parts.push_back({"part" + std::to_string(i), 1});
    }
    parts.push_back({"bad", 1});
    parts.push_back({own, 1});
    return parts;
}

struct quarantine_fixture {
    seeded_random random{1};
    prompt_quarantine quarantine{random};
};

} // namespace

TEST_CASE("a part is quarantined by two separate crashes, not by one") {
    quarantine_fixture fixture;
    fixture.quarantine.on_answered(good, at(0));
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
    fixture.quarantine.on_crash(run(2), bad, at(2'000));
    CHECK(fixture.quarantine.is_blocked(bad));
    CHECK_FALSE(fixture.quarantine.is_blocked(good));
    CHECK_FALSE(fixture.quarantine.is_blocked(prompt({"bad"}))); // The last part.
    CHECK_FALSE(fixture.quarantine.is_blocked({}));
}

TEST_CASE("a call is suspected from the first crash under its parts until they are answered") {
    quarantine_fixture fixture;
    fixture.quarantine.on_answered(good, at(500));
    CHECK_FALSE(fixture.quarantine.is_suspected(good));
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    CHECK(fixture.quarantine.is_suspected(bad));
    fixture.quarantine.on_answered(bad, at(1'500));
    CHECK_FALSE(fixture.quarantine.is_suspected(bad));
    CHECK_FALSE(fixture.quarantine.is_suspected({}));
}

TEST_CASE("engines that crash at the same moment do not quarantine what waited there") {
    quarantine_fixture fixture;
    for (int i = 1; i <= 3; ++i) {
        fixture.quarantine.on_crash(run(i), bad, at(1'000 + i * 10));
    }
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
    fixture.quarantine.on_crash(run(4), bad, at(1'050));
    CHECK(fixture.quarantine.is_blocked(bad));
}

TEST_CASE("several calls that wait at one crashed engine count as one crash") {
    quarantine_fixture fixture;
    for (int i = 0; i < 5; ++i) {
        fixture.quarantine.on_crash(run(1), bad, at(1'000 + i * 500));
    }
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
}

TEST_CASE("an answer clears the parts of its call") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    fixture.quarantine.on_answered(bad, at(1'500));
    fixture.quarantine.on_crash(run(2), bad, at(2'000));
    fixture.quarantine.on_crash(run(3), bad, at(3'000));
    CHECK_FALSE(fixture.quarantine.is_blocked(bad)); // Answered before: needs three crashes.
    fixture.quarantine.on_crash(run(4), bad, at(4'000));
    CHECK(fixture.quarantine.is_blocked(bad));
    fixture.quarantine.on_answered(bad, at(4'500));
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
}

TEST_CASE("a part that waited beside the crashing one does not block other calls") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    fixture.quarantine.on_crash(run(2), bad, at(2'000));
    CHECK(fixture.quarantine.quarantined().size() == 2);
    CHECK(fixture.quarantine.is_blocked(bad));
    CHECK_FALSE(fixture.quarantine.is_blocked(good));
    fixture.quarantine.on_answered(good, at(2'500));
    CHECK(fixture.quarantine.quarantined() == std::set{prompt_part_id("bad")});
    CHECK(fixture.quarantine.is_blocked(prompt({"other", "bad", "own"})));
}

TEST_CASE("a call that waited at engines which another call crashed is not blocked") {
    quarantine_fixture fixture;
    const auto victim = prompt({"rare", "own"});
    for (int i = 1; i <= 3; ++i) {
        fixture.quarantine.on_crash(run(i), bad, at(i * 1'000));
        if (i < 3) {
            fixture.quarantine.on_crash(run(i), victim, at(i * 1'000));
        }
    }
    CHECK(fixture.quarantine.is_blocked(bad));
    CHECK_FALSE(fixture.quarantine.is_blocked(victim));
}

TEST_CASE("nodes quarantine a part by their common evidence, and clear it by one's answer") {
    quarantine_fixture one;
    quarantine_fixture two;
    one.quarantine.on_crash(run(1), bad, at(1'000));
    two.quarantine.on_crash(run(2), bad, at(1'600));
    one.quarantine.on_peer_suspicions(two.quarantine.suspicions(at(1'700)), at(1'700));
    two.quarantine.on_peer_suspicions(one.quarantine.suspicions(at(1'700)), at(1'700));
    CHECK(one.quarantine.is_blocked(bad));
    CHECK(two.quarantine.is_blocked(bad));
    one.quarantine.on_answered(bad, at(2'000));
    two.quarantine.on_peer_suspicions(one.quarantine.suspicions(at(2'100)), at(2'100));
    CHECK_FALSE(two.quarantine.is_blocked(bad));
    // Evidence from before the answer does not come back.
    one.quarantine.on_peer_suspicions(
        std::vector{prompt_suspicion{prompt_part_id("bad"),
                                     std::nullopt,
                                     {{run(1), micros{2'000'000}}, {run(2), micros{1'400'000}}}}},
        at(3'000));
    CHECK_FALSE(one.quarantine.is_blocked(bad));
}

TEST_CASE("a crash that peers report late is not counted twice") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    const std::vector<prompt_suspicion> late{
        {prompt_part_id("bad"), std::nullopt, {{run(1), micros{0}}}}};
    fixture.quarantine.on_peer_suspicions(late, at(9'000));
    CHECK(fixture.quarantine.separate_crashes(prompt_part_id("bad")) == 1);
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
}

TEST_CASE("a node that starts later learns of quarantined parts") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(1'000));
    fixture.quarantine.on_crash(run(2), bad, at(2'000));
    quarantine_fixture started;
    started.quarantine.on_peer_suspicions(fixture.quarantine.suspicions(at(20'000)), at(20'000));
    CHECK(started.quarantine.is_blocked(bad));
}

TEST_CASE("one trial at a time follows a quarantine, later after each crash") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(0));
    fixture.quarantine.on_crash(run(2), bad, at(1'000));
    const auto wait = fixture.quarantine.admit(bad, at(1'000));
    REQUIRE(wait);
    CHECK(*wait >= prompt_quarantine::quarantine_time(2));
    CHECK(*wait <= prompt_quarantine::quarantine_time(2) * 3 / 2);
    const time_point trial = at(1'000) + *wait;
    CHECK_FALSE(fixture.quarantine.admit(bad, trial));
    CHECK(fixture.quarantine.admit(bad, trial) == prompt_quarantine::trial_interval);
    fixture.quarantine.on_crash(run(3), bad, trial + millis{500});
    const auto longer = fixture.quarantine.admit(bad, trial + millis{500});
    REQUIRE(longer);
    CHECK(*longer >= prompt_quarantine::quarantine_time(3));
    CHECK(prompt_quarantine::quarantine_time(3) > prompt_quarantine::quarantine_time(2));
}

TEST_CASE("old evidence and many parts do not use memory for ever") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(0));
    fixture.quarantine.on_crash(run(2), bad, at(1'000));
    for (int i = 0; i < 20'000; ++i) {
        fixture.quarantine.on_answered(prompt({"part" + std::to_string(i), "own"}), at(2'000 + i));
    }
    CHECK(fixture.quarantine.is_blocked(bad));
    fixture.quarantine.expire(at(3'000) + prompt_quarantine::evidence_lifetime);
    CHECK_FALSE(fixture.quarantine.is_blocked(bad));
    CHECK(fixture.quarantine.suspicions(at(2'000) + prompt_quarantine::evidence_lifetime).empty());
}

TEST_CASE("long part ids are told apart") {
    quarantine_fixture fixture;
    const std::string base(5'000, 'a');
    const auto one = prompt({base + "1", "own"});
    fixture.quarantine.on_crash(run(1), one, at(0));
    fixture.quarantine.on_crash(run(2), one, at(1'000));
    CHECK(fixture.quarantine.is_blocked(one));
    CHECK_FALSE(fixture.quarantine.is_blocked(prompt({base + "2", "own"})));
    CHECK(fixture.quarantine.quarantined().begin()->str().size() < 64);
}

TEST_CASE("a call's content that crashes servers is blocked, and no other content") {
    quarantine_fixture fixture;
    const crash_suspects crashing({}, 77);
    const crash_suspects other({}, 78);
    fixture.quarantine.on_crash(run(1), crashing, at(0));
    CHECK_FALSE(fixture.quarantine.is_blocked(crashing));
    fixture.quarantine.on_crash(run(2), crashing, at(1'000));
    CHECK(fixture.quarantine.is_blocked(crashing));
    CHECK_FALSE(fixture.quarantine.is_blocked(other));
    CHECK(fixture.quarantine.admit(crashing, at(2'000)).has_value());
    fixture.quarantine.on_answered(crashing, at(3'000));
    CHECK_FALSE(fixture.quarantine.is_blocked(crashing));
}

TEST_CASE("a content that crashes servers does not block sound calls with the same prompt parts") {
    quarantine_fixture fixture;
    const crash_suspects crashing(bad, 77);
    fixture.quarantine.on_crash(run(1), crashing, at(0));
    fixture.quarantine.on_crash(run(2), crashing, at(1'000));
    CHECK(fixture.quarantine.is_blocked(crashing));
    CHECK_FALSE(fixture.quarantine.is_blocked(crash_suspects(bad, 78)));
}

TEST_CASE("answers to contents without evidence are not remembered") {
    quarantine_fixture fixture;
    for (std::uint64_t content = 0; content < 10'000; ++content) {
        fixture.quarantine.on_answered(crash_suspects({}, content), at(0));
    }
    CHECK_FALSE(fixture.quarantine.has_records());
}

TEST_CASE("a content that crashes servers in each trial gets three trials in two hours") {
    quarantine_fixture fixture;
    const crash_suspects crashing({}, 77);
    fixture.quarantine.on_crash(run(1), crashing, at(0));
    fixture.quarantine.on_crash(run(2), crashing, at(500));
    int trials = 0;
    for (int ms = 1'000; ms < 2 * 3'600'000; ms += 500) {
        fixture.quarantine.expire(at(ms));
        if (!fixture.quarantine.admit(crashing, at(ms))) {
            fixture.quarantine.on_crash(run(3 + trials++), crashing, at(ms));
        }
    }
    CHECK(trials >= 2);
    CHECK(trials <= 3);
}

TEST_CASE("a caller's prompt part cannot stand for the content of a call") {
    const crash_suspects content({}, 0x77);
    REQUIRE(content.ids().size() == 1);
    const crash_suspects parts(prompt({content.ids().begin()->str(), "own"}));
    REQUIRE(parts.ids().size() == 1);
    CHECK_FALSE(crash_suspects::is_content(*parts.ids().begin()));
}

TEST_CASE("many calls that waited at one crashed server do not keep a crashing part from peers") {
    quarantine_fixture fixture;
    for (std::uint64_t content = 1; content <= 200; ++content) {
        fixture.quarantine.on_crash(run(1), crash_suspects({}, content), at(0));
    }
    fixture.quarantine.on_crash(run(2), crash_suspects({}, 7), at(100));
    fixture.quarantine.on_crash(run(2), bad, at(100));
    const auto reported = fixture.quarantine.suspicions(at(200));
    CHECK(reported.size() < 100);
    const auto has = [&](const prompt_part_id& id) {
        return std::any_of(reported.begin(), reported.end(),
                           [&](const auto& one) { return one.part == id; });
    };
    CHECK(has(prompt_part_id("bad")));
    CHECK(has(*crash_suspects({}, 7).ids().begin()));
}

// Each quarantined part of a call was compared with the whole quarantine, 0.7 s for a call.
TEST_CASE("calls with thousands of quarantined parts are refused faster than they come") {
    quarantine_fixture fixture;
    for (int i = 1; i <= 4; ++i) {
        const auto own = "own" + std::to_string(i);
        fixture.quarantine.on_crash(run(i), crash_suspects(long_prompt(own), i), at(i * 1'000));
    }
    constexpr int calls = 40;
    // Four calls a second, the rate of one customer.
    constexpr std::chrono::seconds time_of_calls{10};
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        const auto own = "later" + std::to_string(i);
        CHECK(fixture.quarantine.admit(crash_suspects(long_prompt(own), 100 + i), at(5'000)));
    }
    CHECK(std::chrono::steady_clock::now() - begin < time_of_calls);
}

TEST_CASE("parts whose older evidence expired are told apart by the rest") {
    quarantine_fixture fixture;
    const auto early = prompt({"early", "own"});
    const auto late = prompt({"late", "own"});
    fixture.quarantine.on_crash(run(1), early, at(0));
    for (int i = 2; i <= 3; ++i) {
        fixture.quarantine.on_crash(run(i), early, at(i * 1'000));
        fixture.quarantine.on_crash(run(i), late, at(i * 1'000));
    }
    CHECK(fixture.quarantine.is_blocked(early));
    CHECK_FALSE(fixture.quarantine.is_blocked(late));
    fixture.quarantine.expire(at(1'000) + prompt_quarantine::evidence_lifetime);
    CHECK_FALSE(fixture.quarantine.is_blocked(early)); // Now `late` may be the cause instead.
    CHECK(fixture.quarantine.is_blocked(prompt({"early", "late", "own"})));
}

TEST_CASE("parts that are added and removed between two looks are no changes") {
    quarantine_fixture fixture;
    fixture.quarantine.on_crash(run(1), bad, at(0));
    fixture.quarantine.on_crash(run(2), bad, at(1'000));
    CHECK(fixture.quarantine.take_changes().added ==
          std::vector{prompt_part_id("bad"), prompt_part_id("shared")});
    fixture.quarantine.on_answered(good, at(2'000));
    fixture.quarantine.on_crash(run(3), prompt({"new", "own"}), at(3'000));
    fixture.quarantine.on_crash(run(4), prompt({"new", "own"}), at(4'000));
    fixture.quarantine.on_answered(prompt({"new", "own"}), at(5'000));
    const quarantine_changes changes = fixture.quarantine.take_changes();
    CHECK(changes.added.empty());
    CHECK(changes.removed == std::vector{prompt_part_id("shared")});
    CHECK(fixture.quarantine.take_changes().removed.empty());
}

// While there were too many parts, each new one was searched for in all.
TEST_CASE("evidence against tens of thousands of parts is taken in at once") {
    quarantine_fixture fixture;
    constexpr int calls = 30;
    constexpr int parts_of_call = 1'667;
    std::vector<crash_suspects> waiting;
    for (int i = 0; i < calls; ++i) {
        std::vector<std::string> ids;
        ids.reserve(parts_of_call + 1);
        for (int j = 0; j <= parts_of_call; ++j) {
            ids.push_back("part" + std::to_string(i) + "-" + std::to_string(j));
        }
        waiting.emplace_back(prompt(ids));
    }
    // The other calls' answers may be late by no more than this.
    constexpr millis bound{1'200};
    const auto begin = std::chrono::steady_clock::now();
    for (const crash_suspects& suspects : waiting) {
        CHECK(fixture.quarantine.on_crash(run(1), suspects, at(0)));
    }
    CHECK(std::chrono::steady_clock::now() - begin < bound);
    CHECK(fixture.quarantine.is_suspected(waiting.front()));
    CHECK(fixture.quarantine.is_suspected(waiting.back()));
}

TEST_CASE("of too many answered parts, those that calls still have are remembered") {
    quarantine_fixture fixture;
    const auto used = prompt({"used", "own"});
    for (int i = 0; i < 20'000; ++i) {
        fixture.quarantine.on_answered(prompt({"part" + std::to_string(i), "own"}), at(i));
        if (i % 1'000 == 0) {
            fixture.quarantine.on_answered(used, at(i));
        }
    }
    fixture.quarantine.on_crash(run(1), used, at(20'000));
    fixture.quarantine.on_crash(run(2), used, at(21'000));
    CHECK_FALSE(fixture.quarantine.is_blocked(used)); // Answered before: needs three crashes.
    const auto forgotten = prompt({"part0", "own"});
    fixture.quarantine.on_crash(run(1), forgotten, at(20'000));
    fixture.quarantine.on_crash(run(2), forgotten, at(21'000));
    CHECK(fixture.quarantine.is_blocked(forgotten));
}

TEST_CASE("answered parts are forgotten once evidence takes their place, evidence is not") {
    quarantine_fixture fixture;
    const auto answered = prompt({"answered", "own"});
    fixture.quarantine.on_answered(answered, at(0));
    std::vector<std::string> ids;
    for (std::size_t i = 0; i <= 2 * prompt_quarantine::max_parts; ++i) {
        ids.push_back("part" + std::to_string(i));
    }
    fixture.quarantine.on_crash(run(1), prompt(ids), at(1'000));
    fixture.quarantine.on_crash(run(2), prompt(ids), at(2'000));
    CHECK(fixture.quarantine.quarantined().size() == 2 * prompt_quarantine::max_parts);
    fixture.quarantine.on_crash(run(1), answered, at(1'000));
    fixture.quarantine.on_crash(run(2), answered, at(2'000));
    CHECK(fixture.quarantine.separate_crashes(prompt_part_id("answered")) ==
          prompt_quarantine::min_crashes);
    CHECK(fixture.quarantine.quarantined().contains(prompt_part_id("answered")));
}
