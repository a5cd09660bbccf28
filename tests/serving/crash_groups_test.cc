#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/crash_groups.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace jujubetide;

namespace {

crash_groups::crash_times crashes(const std::vector<int>& runs) {
    crash_groups::crash_times times;
    for (const int number : runs) {
        times[server_run_id("i-" + std::to_string(number) + "/1")] = time_point{};
    }
    return times;
}

/// A quarantined part, and whether a call has it.
struct member {
    crash_groups::crash_times crashes;
    const crash_groups::group* group = nullptr;
    bool is_in_call = false;
};

crash_groups::member_counts count_in_call(const std::vector<member>& members) {
    crash_groups::member_counts counts;
    for (const member& one : members) {
        counts[one.group] += one.is_in_call ? 1 : 0;
    }
    absl::erase_if(counts, [](const auto& item) { return item.second == 0; });
    return counts;
}

/// The same by the definition.
bool has_other_suspect(const member& of, const std::vector<member>& members) {
    return std::any_of(members.begin(), members.end(), [&of](const member& other) {
        return !other.is_in_call &&
               std::all_of(of.crashes.begin(), of.crashes.end(), [&other](const auto& crash) {
                   return other.crashes.contains(crash.first);
               });
    });
}

crash_groups::crash_times random_crashes(seeded_random& random) {
    constexpr int run_count = 6;
    std::vector<int> runs;
    for (int number = 0; number < run_count; ++number) {
        if (random.below(2) == 0) {
            runs.push_back(number);
        }
    }
    return crashes(runs);
}

} // namespace

TEST_CASE("parts with the same crashed runs are one group") {
    crash_groups groups;
    const crash_groups::group* one = groups.move(nullptr, crashes({1, 2}));
    CHECK(groups.move(nullptr, crashes({2, 1})) == one);
    CHECK(one->second == 2);
    CHECK(groups.move(one, crashes({1, 2})) == one);
    CHECK(one->second == 2);
    const crash_groups::group* other = groups.move(one, crashes({1, 2, 3}));
    CHECK(other != one);
    CHECK(one->second == 1);
    CHECK(other->second == 1);
    groups.remove(one);
    CHECK(groups.groups_without_other_suspect({{other, 1}}).contains(other));
}

TEST_CASE("a group is compared with a bounded number of others") {
    crash_groups groups;
    const crash_groups::group* small = groups.move(nullptr, crashes({1, 2}));
    for (int i = 0; i < static_cast<int>(crash_groups::max_compared); ++i) {
        (void)groups.move(nullptr, crashes({2, 3, 4, i + 5}));
    }
    CHECK(groups.groups_without_other_suspect({{small, 1}}).contains(small));
    // A group with more runs is compared first.
    (void)groups.move(nullptr, crashes({1, 2, 3, 4, 5}));
    CHECK(groups.groups_without_other_suspect({{small, 1}}).empty());
}

TEST_CASE("groups know of other suspects as a search through all parts does") {
    seeded_random random(1);
    for (int round = 0; round < 300; ++round) {
        crash_groups groups;
        std::vector<member> members(1 + random.below(12));
        for (member& one : members) {
            one.is_in_call = random.below(3) > 0;
            one.crashes = random_crashes(random);
            one.group = groups.move(nullptr, one.crashes);
            if (random.below(4) == 0) {
                one.crashes = random_crashes(random);
                one.group = groups.move(one.group, one.crashes);
            }
        }
        const auto found = groups.groups_without_other_suspect(count_in_call(members));
        for (const member& one : members) {
            CHECK((one.is_in_call && !has_other_suspect(one, members)) ==
                  (one.is_in_call && found.contains(one.group)));
        }
    }
}
