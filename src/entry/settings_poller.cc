#include "entry/settings_poller.h"

#include "entry/entry_events.h"

#include "jujubetide/base/jitter.h"

#include <algorithm>

namespace jujubetide {

settings_poller::settings_poller(entry_parts& parts, random_source& random, millis period,
                                 std::function<void()> on_loaded)
    : parts_(parts), random_(random), period_(period), on_loaded_(std::move(on_loaded)),
      store_(parts.platform_table), task_(parts.timers, [this] { return poll(); }) {}

micros settings_poller::poll() {
    const absl::Status loaded = load();
    if (!loaded.ok()) {
        parts_.log.write(settings_not_loaded, {{"error", std::string(loaded.message())}});
    } else if (parts_.boards.settings.current() != nullptr) {
        on_loaded_();
    }
    const snapshot_ptr current = parts_.boards.settings.current();
    const bool has_settings = current != nullptr && current->at() > revision();
    const millis base = has_settings ? period_ : std::min(period_, first_load_period);
    return with_jitter(base, random_);
}

absl::Status settings_poller::load() {
    const auto newer = store_.load_newer(parts_.boards.settings.current());
    if (newer.ok() && *newer != nullptr) {
        parts_.facts.settings(*newer);
    }
    return newer.status();
}

} // namespace jujubetide
