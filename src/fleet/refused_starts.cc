#include "jujubetide/fleet/refused_starts.h"

#include <algorithm>

namespace jujubetide {

void refused_starts::on_refused(const host_offer& offer, time_point now) {
    entry& known = entries_[offer];
    known.wait = known.wait == millis{0} ? times_.first : std::min(known.wait * 2, times_.longest);
    known.until = now + known.wait;
}

std::set<host_offer> refused_starts::at(time_point now) const {
    std::set<host_offer> offers;
    for (const auto& [offer, known] : entries_) {
        if (now < known.until) {
            offers.insert(offer);
        }
    }
    return offers;
}

} // namespace jujubetide
