#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/base/units.h"

#include <cstdint>

namespace jujubetide {

/// Learns how long the answers of each service take from their first piece to their end. It learns
/// from attempts that did not end whole as well: when all engines slow down, those that end within
/// their deadlines are the fast ones. What it has learnt counts for `memory` after the last attempt
/// only: while every request is refused there are no attempts, and so nothing to learn that the
/// engines are fast again. Thread-safe.
class answer_time {
public:
    static constexpr micros memory{10'000'000};

    /// An attempt that ended at `now` gave `pieces` pieces, the last one `first_to_last` after the
    /// first.
    void on_attempt(const service_id& service, std::uint32_t pieces, micros first_to_last,
                    time_point now);
    /// An answer ended whole, with this many pieces.
    void on_whole(const service_id& service, std::uint32_t pieces);
    /// Time from the first piece to the end of an answer of at most `max_pieces`; 0 while nothing
    /// is known of the service.
    [[nodiscard]] micros expected(const service_id& service, std::uint32_t max_pieces,
                                  time_point now) const;

private:
    struct means {
        /// Seconds between pieces, and pieces of an answer; negative while unknown.
        double interval = -1.0;
        double pieces = -1.0;
        time_point last_attempt{};
    };
    sharded_map<service_id, means> services_;
};

} // namespace jujubetide
