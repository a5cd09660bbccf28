#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/serving/server_run_id.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace jujubetide {

/// Groups quarantined prompt parts by the server runs that crashed under them: the members of a
/// group cannot be told apart. The time of a query grows with the groups, not with their members.
class crash_groups {
public:
    using crash_times = std::map<server_run_id, time_point>;

    /// The crashed runs of a group's members.
    class run_set {
    public:
        explicit run_set(const crash_times& crashes);
        [[nodiscard]] std::size_t size() const { return runs_.size(); }
        [[nodiscard]] bool includes(const run_set& other) const;
        bool operator==(const run_set& other) const = default;
        /// Larger sets come first.
        bool operator<(const run_set& other) const;

    private:
        /// Sorted hashes of the runs.
        std::vector<std::uint64_t> runs_;
        /// One bit for each run; a set includes no set that has other bits.
        std::uint64_t signature_ = 0;
    };

    /// A set of runs and the number of members.
    using group = std::pair<const run_set, std::size_t>;
    /// The number of members that a call has of each group.
    using member_counts = absl::flat_hash_map<const group*, std::size_t>;
    using group_set = absl::flat_hash_set<const group*>;

    /// Groups with which one group is compared, those with most runs first.
    static constexpr std::size_t max_compared = 128;

    /// Moves a member from a group, or none, to the group for `crashes`. A group without members is
    /// destroyed.
    [[nodiscard]] const group* move(const group* from, const crash_times& crashes);
    void remove(const group* from);
    /// The groups of a call whose crashes have no other suspect: no group that includes the same
    /// runs has a member that is not in the call.
    [[nodiscard]] group_set groups_without_other_suspect(const member_counts& in_call) const;

private:
    [[nodiscard]] bool has_other_suspect(const group& of, const member_counts& in_call) const;

    std::map<run_set, std::size_t> groups_;
};

} // namespace jujubetide
