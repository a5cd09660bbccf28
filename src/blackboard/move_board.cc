#include "jujubetide/blackboard/move_board.h"

#include <algorithm>

namespace jujubetide {
namespace {

bool is_final(move_state state) {
    return state == move_state::done || state == move_state::taken_back;
}

bool same(const version_move& a, const version_move& b) {
    return a.id == b.id && a.state == b.state && a.step == b.step && a.share == b.share;
}

} // namespace

version_move join_moves(const version_move& a, const version_move& b) {
    if (a.state != b.state && (is_final(a.state) || is_final(b.state))) {
        return a.state > b.state ? a : b;
    }
    return a.step >= b.step ? a : b;
}

bool move_board::merge(const version_move& record) {
    return moves_.update(record.service, [&record](version_move& known) {
        if (known.id.empty()) {
            known = record;
            return true;
        }
        if (known.id != record.id) {
            if (record.start <= known.start) {
                return false;
            }
            known = record;
            return true;
        }
        const version_move joined = join_moves(known, record);
        const bool changed = !same(joined, known);
        known = joined;
        return changed;
    });
}

std::optional<version_move> move_board::of_service(const service_id& service) const {
    return moves_.get(service);
}

std::vector<version_move> move_board::all() const {
    std::vector<version_move> list;
    moves_.for_each([&list](const service_id&, const version_move& move) { list.push_back(move); });
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.service < b.service; });
    return list;
}

bool move_board::take_back(const service_id& service, const move_id& move,
                           const std::string& evidence, wall_time now) {
    return moves_.update(service, [&](version_move& known) {
        if (known.id != move || is_final(known.state)) {
            return false;
        }
        known.state = move_state::taken_back;
        known.share = 0.0;
        known.evidence = evidence;
        known.ended = now;
        known.step = known.step.next();
        return true;
    });
}

} // namespace jujubetide
