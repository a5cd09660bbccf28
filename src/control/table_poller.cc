#include "control/table_poller.h"

#include "control/control_events.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr millis first_period{1'000};
/// Part by which a wait may be longer or shorter.
constexpr double jitter = 0.25;

absl::Status read_settings(const control_parts& parts) {
    const snapshot_ptr current = parts.boards.settings.current();
    const absl::StatusOr<revision> newest = parts.settings.newest();
    if (!newest.ok() || (current && *newest <= current->at())) {
        return newest.status();
    }
    const absl::StatusOr<snapshot_ptr> loaded = parts.settings.load();
    if (loaded.ok()) {
        parts.facts.settings(*loaded);
    }
    return loaded.status();
}

absl::Status read_moves(const control_parts& parts) {
    const auto moves = parts.moves.list();
    if (!moves.ok()) {
        return moves.status();
    }
    for (const stored_move& stored : *moves) {
        parts.facts.move(stored.move);
    }
    return absl::OkStatus();
}

} // namespace

table_poller::table_poller(const control_parts& parts, timer_service& timers, random_source& random,
                           millis period)
    : parts_(parts), random_(random), period_(period), task_(timers, [this] { return poll(); }) {}

absl::Status table_poller::read(const control_parts& parts) {
    absl::Status settings = read_settings(parts);
    return settings.ok() ? read_moves(parts) : settings;
}

micros table_poller::poll() {
    const absl::Status status = read(parts_);
    if (!status.ok()) {
        parts_.log.write(table_not_read, {{"error", std::string(status.message())}});
    }
    const bool has_settings = parts_.boards.settings.current() != nullptr;
    const millis base = has_settings ? period_ : std::min(period_, first_period);
    const double factor = 1.0 - jitter + 2.0 * jitter * random_.uniform();
    return std::chrono::duration_cast<micros>(micros(base) * factor);
}

} // namespace jujubetide
