#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/limits/share_admission.h"
#include "jujubetide/membership/membership_node.h"

namespace jujubetide {

/// Carries customers' demand between the limits of this node and those of all others, so that a
/// customer is held to its share of what all nodes do together.
class demand_exchange {
public:
    /// How often `exchange` is to be called.
    static constexpr micros period{1'000'000};

    /// All outlive the exchange.
    demand_exchange(share_admission& limits, membership_node& membership, const clock& time)
        : limits_(limits), membership_(membership), time_(time) {}

    void exchange();

private:
    share_admission& limits_;
    membership_node& membership_;
    const clock& time_;
};

} // namespace jujubetide
