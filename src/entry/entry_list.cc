#include "entry/entry_list.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>

namespace jujubetide {
namespace {

std::vector<member> usable_entries(const member_board& members) {
    std::vector<member> usable = members.all();
    std::erase_if(usable, [](const member& one) {
        return one.role != node_role::entry || one.leaving || one.health == member_health::dead;
    });
    return usable;
}

/// Those for which `first` holds come first; then by weight for `key`.
template <class Predicate>
void order(std::vector<member>& entries, const std::string& key, Predicate&& first) {
    std::sort(entries.begin(), entries.end(), [&](const member& a, const member& b) {
        if (first(a) != first(b)) {
            return first(a);
        }
        return rendezvous_weight(key, a.node.str()) > rendezvous_weight(key, b.node.str());
    });
}

} // namespace

std::vector<member> entries_for(const member_board& members, const entry_identity& self,
                                const std::string& caller_address) {
    std::vector<member> entries = usable_entries(members);
    order(entries, caller_address,
          [&self](const member& one) { return one.failure_domain == self.failure_domain; });
    return entries;
}

std::vector<member> hand_over_targets(const member_board& members, const entry_identity& self,
                                      const request_id& request) {
    std::vector<member> targets = usable_entries(members);
    std::erase_if(targets, [&self](const member& one) {
        return one.node == self.node || one.health != member_health::alive;
    });
    order(targets, request.str(),
          [&self](const member& one) { return one.failure_domain != self.failure_domain; });
    return targets;
}

} // namespace jujubetide
