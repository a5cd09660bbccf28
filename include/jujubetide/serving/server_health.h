#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

namespace jujubetide {

/// Judges backend servers by the outcomes of real calls: connections that fail keep a server out of
/// use for a growing time, and failing answers add to the cost of choosing it. Not thread-safe.
class server_health {
public:
    /// First time out of use, doubled with each further failure in a row, up to the longest.
    static constexpr micros initial_pause{300'000};
    static constexpr micros max_pause{4'000'000};

    void on_success(const backend_server_id& id, time_point now);
    /// The server answered, but with a failure, or broke its answer off.
    void on_bad_answer(const backend_server_id& id, time_point now);
    /// No connection came about, or the server went silent.
    void on_unreachable(const backend_server_id& id, time_point now);
    void forget(const backend_server_id& id) { states_.erase(id); }

    [[nodiscard]] bool is_paused(const backend_server_id& id, time_point now) const;
    /// Part of the recent answers that failed, between 0 and 1; fades with time.
    [[nodiscard]] double failure_rate(const backend_server_id& id, time_point now) const;

private:
    struct state {
        int consecutive_unreachable = 0;
        time_point paused_until{};
        double failures = 0.0;
        double answers = 0.0;
        time_point updated{};
    };
    static void fade(state& of, time_point now);

    absl::flat_hash_map<backend_server_id, state> states_;
};

} // namespace jujubetide
