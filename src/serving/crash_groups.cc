#include "jujubetide/serving/crash_groups.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr std::uint64_t signature_bits = 64;

/// Whether a call has all members of the group.
bool is_complete(const crash_groups::group& of, const crash_groups::member_counts& in_call) {
    const auto found = in_call.find(&of);
    return found != in_call.end() && found->second >= of.second;
}

} // namespace

crash_groups::run_set::run_set(const crash_times& crashes) {
    runs_.reserve(crashes.size());
    for (const auto& [run, at] : crashes) {
        const std::uint64_t hash = stable_hash(run.str());
        runs_.push_back(hash);
        signature_ |= std::uint64_t{1} << (hash % signature_bits);
    }
    std::sort(runs_.begin(), runs_.end());
}

bool crash_groups::run_set::includes(const run_set& other) const {
    return (other.signature_ & ~signature_) == 0 &&
           std::includes(runs_.begin(), runs_.end(), other.runs_.begin(), other.runs_.end());
}

bool crash_groups::run_set::operator<(const run_set& other) const {
    return size() != other.size() ? size() > other.size() : runs_ < other.runs_;
}

const crash_groups::group* crash_groups::move(const group* from, const crash_times& crashes) {
    run_set runs(crashes);
    if (from != nullptr && from->first == runs) {
        return from;
    }
    const auto to = groups_.try_emplace(std::move(runs), 0).first;
    ++to->second;
    if (from != nullptr) {
        remove(from);
    }
    return &*to;
}

void crash_groups::remove(const group* from) {
    const auto found = groups_.find(from->first);
    if (--found->second == 0) {
        groups_.erase(found);
    }
}

crash_groups::group_set
crash_groups::groups_without_other_suspect(const member_counts& in_call) const {
    group_set found;
    for (const auto& [of, count] : in_call) {
        if (!has_other_suspect(*of, in_call)) {
            found.insert(of);
        }
    }
    return found;
}

bool crash_groups::has_other_suspect(const group& of, const member_counts& in_call) const {
    if (!is_complete(of, in_call)) {
        return true;
    }
    std::size_t compared = 0;
    for (const group& other : groups_) {
        if (other.first.size() <= of.first.size() || compared == max_compared) {
            return false; // Of groups with as many runs, only the same one includes them all.
        }
        ++compared;
        if (other.first.includes(of.first) && !is_complete(other, in_call)) {
            return true;
        }
    }
    return false;
}

} // namespace jujubetide
