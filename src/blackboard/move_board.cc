#include "jujubetide/blackboard/move_board.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {
namespace {

bool is_final(move_state state) {
    return state == move_state::done || state == move_state::taken_back;
}

/// The final state, or `planned` for every state that may still change.
move_state final_state(const version_move& record) {
    return is_final(record.state) ? record.state : move_state::planned;
}

/// All fields but the final state, the most significant first.
auto fields(const version_move& record) {
    return std::tie(record.step, record.state, record.ended, record.share, record.evidence,
                    record.due, record.from, record.to, record.service, record.start, record.id);
}

/// A total order over every field: records that differ at all are joined to the same one at every
/// node, also when two nodes took the version back at the same step on different evidence.
bool precedes(const version_move& a, const version_move& b) {
    if (final_state(a) != final_state(b)) {
        return final_state(a) < final_state(b);
    }
    return fields(a) < fields(b);
}

/// Whether `a` is a newer move of the service than `b`; moves that start together go by their ids.
bool newer_move(const version_move& a, const version_move& b) {
    return std::tie(a.start, a.id) > std::tie(b.start, b.id);
}

} // namespace

version_move join_moves(const version_move& a, const version_move& b) {
    return precedes(a, b) ? b : a;
}

bool move_board::merge(const version_move& record) {
    return moves_.update(record.service, [&record](version_move& known) {
        if (known.id.empty()) {
            known = record;
            return true;
        }
        const bool replaced =
            known.id == record.id ? precedes(known, record) : newer_move(record, known);
        if (replaced) {
            known = record;
        }
        return replaced;
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
    if (!moves_.get(service)) {
        return false;
    }
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
