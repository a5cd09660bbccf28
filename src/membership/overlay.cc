// A k-out random graph with k = 3 is connected with high probability, also when a failure domain or
// the links between regions are lost, since each node's choices lie in different scopes. Whether a
// member has chosen this node is found without computing all of its choices: the scan of a scope
// stops at the first candidate with a higher weight, which takes about ln(n) steps on average.
#include "jujubetide/membership/overlay.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace jujubetide {
namespace {

enum class scope : std::uint8_t { domain, region, world, all };
constexpr std::array choice_scopes{scope::domain, scope::region, scope::world};

struct candidate {
    const member* record = nullptr;
    std::uint64_t hash = 0;
    /// Hashes of the failure domain and the region.
    std::uint64_t domain = 0;
    std::uint64_t region = 0;
};

candidate to_candidate(const member& record) {
    return {&record, stable_hash(record.node.str()), stable_hash(record.failure_domain.str()),
            stable_hash(record.region.str())};
}

bool in_scope(const candidate& self, const candidate& other, scope wanted) {
    switch (wanted) {
    case scope::domain:
        return other.domain == self.domain;
    case scope::region:
        return other.region == self.region && other.domain != self.domain;
    case scope::world:
        return other.region != self.region;
    case scope::all:
        return true;
    }
    return false;
}

std::uint64_t weight_of(const candidate& chooser, const candidate& other, scope wanted) {
    return rendezvous_weight(chooser.hash + static_cast<std::uint64_t>(wanted), other.hash);
}

/// Whether `chooser` picks `target` within a scope.
bool picks(const std::vector<candidate>& candidates, const candidate& chooser,
           const candidate& target, scope wanted) {
    if (!in_scope(chooser, target, wanted)) {
        return false;
    }
    const std::uint64_t limit = weight_of(chooser, target, wanted);
    return std::none_of(candidates.begin(), candidates.end(), [&](const candidate& other) {
        return other.record != chooser.record && other.record != target.record &&
               in_scope(chooser, other, wanted) && weight_of(chooser, other, wanted) > limit;
    });
}

bool scope_empty(const std::vector<candidate>& candidates, const candidate& chooser, scope wanted) {
    return std::none_of(candidates.begin(), candidates.end(), [&](const candidate& other) {
        return other.record != chooser.record && in_scope(chooser, other, wanted);
    });
}

/// Whether `chooser` picks `target` in any of its scopes.
bool chooses(const std::vector<candidate>& candidates, const candidate& chooser,
             const candidate& target) {
    bool unfilled = false;
    for (const scope wanted : choice_scopes) {
        if (picks(candidates, chooser, target, wanted)) {
            return true;
        }
        unfilled = unfilled || scope_empty(candidates, chooser, wanted);
    }
    return unfilled && picks(candidates, chooser, target, scope::all);
}

/// All members, `self` first.
std::vector<candidate> to_candidates(const member& self, const std::vector<member>& members) {
    std::vector<candidate> candidates;
    candidates.reserve(members.size() + 1);
    candidates.push_back(to_candidate(self));
    for (const member& other : members) {
        if (other.node != self.node) {
            candidates.push_back(to_candidate(other));
        }
    }
    return candidates;
}

} // namespace

std::vector<member> choose_neighbours(const member& self, const std::vector<member>& members) {
    const std::vector<candidate> candidates = to_candidates(self, members);
    const candidate own = candidates.front();
    std::vector<member> neighbours;
    for (const candidate& other : candidates) {
        if (other.record != own.record &&
            (chooses(candidates, own, other) || chooses(candidates, other, own))) {
            neighbours.push_back(*other.record);
        }
    }
    std::sort(neighbours.begin(), neighbours.end(),
              [](const member& a, const member& b) { return a.node < b.node; });
    return neighbours;
}

std::vector<member> choosers_of(const member& self, const std::vector<member>& neighbours,
                                const std::vector<member>& members) {
    const std::vector<candidate> candidates = to_candidates(self, members);
    std::vector<member> choosers;
    std::copy_if(neighbours.begin(), neighbours.end(), std::back_inserter(choosers),
                 [&](const member& other) {
                     const auto chooser = std::find_if(
                         candidates.begin(), candidates.end(),
                         [&other](const candidate& one) { return one.record->node == other.node; });
                     return chooser != candidates.end() &&
                            chooses(candidates, *chooser, candidates.front());
                 });
    return choosers;
}

} // namespace jujubetide
