#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

namespace jujubetide {

/// Rates backend servers by the outcomes of real calls: failed connections pause a server for an
/// increasing time, and failed answers add to the cost of choosing it. Not thread-safe.
class server_health {
public:
    /// Length of the first pause; doubled with each further consecutive failure, up to `max_pause`.
    static constexpr micros initial_pause{300'000};
    static constexpr micros max_pause{4'000'000};

    void on_success(const backend_server_id& id, time_point now);
    /// The server answered with an error or aborted its answer.
    void on_bad_answer(const backend_server_id& id, time_point now);
    /// No connection could be established, or the server stopped responding.
    void on_unreachable(const backend_server_id& id, time_point now);
    void forget(const backend_server_id& id) { states_.erase(id); }
    /// Ends all pauses: the servers were not the reason why they could not be reached.
    void forget_unreachable();

    [[nodiscard]] bool is_paused(const backend_server_id& id, time_point now) const;
    /// Fraction of the recent answers that failed, between 0 and 1; decays over time.
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
