#include "control/table_poller.h"

#include "control/control_events.h"

#include "jujubetide/base/jitter.h"

#include <algorithm>

namespace jujubetide {
namespace {

constexpr millis first_period{1'000};

absl::Status read_settings(const control_parts& parts) {
    const auto newer = parts.settings.load_newer(parts.boards.settings.current());
    if (newer.ok() && *newer != nullptr) {
        parts.facts.settings(*newer);
    }
    return newer.status();
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
    return with_jitter(base, random_);
}

} // namespace jujubetide
