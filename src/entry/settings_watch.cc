#include "entry/settings_watch.h"

#include "entry/entry_events.h"

#include <string>

namespace jujubetide {

void settings_watch::look() {
    const snapshot_ptr settings = board_.current();
    if (settings == nullptr || settings->at() <= logged_) {
        return;
    }
    logged_ = settings->at();
    log_.write(settings_in_force, {{"revision", std::to_string(logged_.value())}});
}

} // namespace jujubetide
