#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/decaying_sum.h"
#include "jujubetide/serving/urgency_level.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

namespace jujubetide {

/// Decides whether a call may wait at its server or is better refused at once. Designed for more
/// calls of several urgencies than the engines of a service can prefill, which they do in the order
/// of arrival: the less urgent a call is, the more of the wait that more urgent ones stand it
/// leaves to these. Neither a route nor its large prompts are starved. Not thread-safe.
class wait_allowance final {
public:
    struct query {
        service_id service;
        route_id route;
        urgency_level urgency;
        /// Expected time to the first event.
        micros target{0};
        /// Time since the call was received, and until its deadline.
        micros elapsed{0};
        micros time_left{0};
        /// Estimated wait behind other calls, and time from its end to the first event.
        micros waiting{0};
        micros prefill_time{0};
        /// Estimated time to the first event with both.
        micros first_event{0};
        std::uint64_t prompt_tokens = 0;
        time_point now{};
    };

    /// The longest wait with which the call is sent, but for the floors.
    [[nodiscard]] micros allowed(const query& call) const;
    /// Whether the call is to be sent now, but for the floors.
    [[nodiscard]] bool is_within(const query& call) const;
    /// Whether the call is to be sent now. Counts the call; to be asked once for each.
    [[nodiscard]] bool decide(const query& call);

private:
    static constexpr micros admission_memory{5'000'000};

    struct admission_counts {
        decaying_sum asked{admission_memory};
        decaying_sum admitted{admission_memory};

        /// 1 if none was asked.
        [[nodiscard]] double ratio(time_point now) const;
        void add(bool is_admitted, time_point now);
    };
    struct route_state {
        admission_counts all;
        admission_counts large;
        decaying_sum prompt_tokens{admission_memory};
    };
    /// The calls of one urgency level.
    struct level_state {
        decaying_sum calls{admission_memory};
        /// Sum of their targets, in microseconds.
        decaying_sum targets{admission_memory};
    };
    struct service_state {
        admission_counts all;
        absl::flat_hash_map<route_id, route_state> routes;
        std::array<level_state, urgency_level::count> levels;
    };

    static void forget_idle_routes(service_state& service, time_point now);
    /// The longest wait of a call beside the more urgent ones of its service.
    [[nodiscard]] micros wait_beside_urgent(const query& call) const;
    [[nodiscard]] static bool is_large(const route_state& route, const query& call);
    /// Whether calls like this one are admitted too rarely, and it can still be answered.
    [[nodiscard]] bool is_below_floor(const service_state& service, const route_state& route,
                                      const query& call) const;

    absl::flat_hash_map<service_id, service_state> services_;
};

} // namespace jujubetide
