#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jujubetide {

/// Hosts of one kind that can be chosen.
struct cover_offer {
    /// The domain of hosts that no loss takes.
    static constexpr std::size_t never_lost = SIZE_MAX;

    /// Capacity and price of one host; the capacity is positive.
    double rate = 0.0;
    double price = 0.0;
    /// Number of the failure domain whose loss takes the hosts.
    std::size_t domain = never_lost;
    /// How many can be chosen at most.
    std::size_t most = SIZE_MAX;
};

/// How many hosts of each offer are chosen.
using cover_counts = std::vector<std::size_t>;

} // namespace jujubetide
