#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/fleet/fleet_problem.h"

#include <map>
#include <set>

namespace jujubetide {

/// Remembers which offers the cloud refused. Each further refusal doubles the time in which the
/// offer is not tried again, up to a limit. Not thread-safe.
class refused_starts {
public:
    struct back_off {
        millis first{60'000};
        millis longest{1'800'000};
    };

    explicit refused_starts(back_off times) : times_(times) {}

    void on_refused(const host_offer& offer, time_point now);
    void on_started(const host_offer& offer) { entries_.erase(offer); }
    /// Offers that are not to be tried now.
    [[nodiscard]] std::set<host_offer> at(time_point now) const;

private:
    struct entry {
        millis wait{0};
        time_point until{};
    };

    back_off times_;
    std::map<host_offer, entry> entries_;
};

} // namespace jujubetide
