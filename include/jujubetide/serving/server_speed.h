#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

namespace jujubetide {

/// Learns how many times slower than expected each server answers. A phase of some hundred
/// milliseconds counts while it lasts and then no longer; a difference that stays is remembered,
/// and replaced when the server changes. Not thread-safe.
class server_speed final {
public:
    /// An answer took `seen_ms` where a server of the usual speed would have taken `expected_ms`.
    void observe(const backend_server_id& id, double expected_ms, double seen_ms, time_point now);
    /// 1 for the usual speed and unknown servers, 2 for half of it.
    [[nodiscard]] double slowdown(const backend_server_id& id, time_point now) const;
    void forget(const backend_server_id& id) { states_.erase(id); }

private:
    /// Averages of the logarithm of the slowdown.
    struct state {
        double lasting = 0.0;
        double lasting_weight = 0.0;
        double recent = 0.0;
        double recent_weight = 0.0;
        time_point updated{};
        /// Since when the recent average has differed from the lasting one; unset if it does not.
        time_point differs_since{};
        /// Weight of the observations since then, and their sum.
        double differing_weight = 0.0;
        double differing_sum = 0.0;
        bool is_slower = false;
    };
    [[nodiscard]] static double recent_weight(const state& of, time_point now);
    [[nodiscard]] static bool differs(const state& of);

    absl::flat_hash_map<backend_server_id, state> states_;
};

} // namespace jujubetide
