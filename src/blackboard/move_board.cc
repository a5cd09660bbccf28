#include "jujubetide/blackboard/move_board.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {
namespace {

bool is_final(move_state state) {
    return state == move_state::done || state == move_state::taken_back;
}

/// The order of a move's records by how far they bind: a node's own take-back stops the traffic
/// until the table has recorded an end, and gives way to that end, of which there is one.
int binding(const version_move& move) {
    switch (move.state) {
    case move_state::taken_back:
        return is_recorded_end(move) ? 3 : 1;
    case move_state::done:
        return 2;
    default:
        return 0;
    }
}

auto order_of(const version_move& move) {
    return std::make_tuple(binding(move), move.step, move.state, move.share, move.ended,
                           std::tie(move.evidence, move.due, move.start, move.from, move.to));
}

} // namespace

bool is_recorded_end(const version_move& move) {
    return is_final(move.state) && move.ended != wall_time{};
}

version_move join_moves(const version_move& a, const version_move& b) {
    return order_of(a) >= order_of(b) ? a : b;
}

bool move_board::merge(const version_move& record) {
    return moves_.update(record.service, [&record](version_move& known) {
        if (known.id == record.id) {
            const version_move joined = join_moves(known, record);
            const bool changed = order_of(joined) != order_of(known);
            known = joined;
            return changed;
        }
        const bool newer =
            known.id.empty() || std::tie(record.start, record.id) > std::tie(known.start, known.id);
        if (newer) {
            known = record;
        }
        return newer;
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
                           const std::string& evidence) {
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
        known.ended = wall_time{};
        known.step = known.step.next();
        return true;
    });
}

} // namespace jujubetide
