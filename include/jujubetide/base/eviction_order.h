#pragma once

#include "jujubetide/base/units.h"

#include <cstddef>
#include <optional>
#include <span>

namespace jujubetide {

/// What a connection takes that has not sent a complete request.
struct unfinished_request {
    std::size_t bytes = 0;
    /// Since the first byte of the request.
    micros age{0};
    /// Since the last byte of the connection.
    micros quiet{0};
};

/// Which unfinished request is given up when there is no room for others. Answers clients that send
/// most of a body and keep the connection open: small and moving requests are given up last.
class eviction_order {
public:
    /// The index of the request that has taken the most memory for the longest time.
    [[nodiscard]] static std::optional<std::size_t>
    first_for_memory(std::span<const unfinished_request> requests);
    /// The index of the request whose connection has been quiet for the longest time.
    [[nodiscard]] static std::optional<std::size_t>
    first_for_connection(std::span<const unfinished_request> requests);
};

} // namespace jujubetide
