#include "jujubetide/blackboard/member_board.h"

#include <algorithm>

namespace jujubetide {
namespace {

bool same(const member& a, const member& b) {
    return a.at == b.at && a.health == b.health && a.leaving == b.leaving &&
           a.settings == b.settings;
}

} // namespace

member join_members(const member& a, const member& b) {
    if (a.at != b.at) {
        return a.at > b.at ? a : b;
    }
    member joined = a;
    joined.health = std::max(a.health, b.health);
    joined.leaving = a.leaving || b.leaving;
    joined.settings = std::max(a.settings, b.settings);
    return joined;
}

bool member_board::merge(const member& record) {
    return members_.update(record.node, [&record](member& known) {
        if (known.node.empty()) {
            known = record;
            return true;
        }
        const member joined = join_members(known, record);
        const bool changed = !same(joined, known);
        known = joined;
        return changed;
    });
}

std::optional<member> member_board::find(const node_id& node) const {
    return members_.get(node);
}

std::vector<member> member_board::all() const {
    std::vector<member> list;
    members_.for_each([&list](const node_id&, const member& record) { list.push_back(record); });
    std::sort(list.begin(), list.end(),
              [](const member& a, const member& b) { return a.node < b.node; });
    return list;
}

void member_board::forget(const node_id& node) {
    members_.take(node);
}

} // namespace jujubetide
