#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/decaying_sum.h"
#include "jujubetide/serving/urgency_level.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <utility>

namespace jujubetide {

/// Chooses when refused callers return: over the time in which room is expected for them, the most
/// urgent first. Designed for many calls that are refused within the same second and whose callers
/// return once. Not thread-safe.
class return_schedule final {
public:
    /// `random` must outlive this object.
    explicit return_schedule(random_source& random) : random_(random) {}

    struct query {
        service_id service;
        /// Whose room the caller waits for; empty if it is that of all customers.
        customer_id customer;
        urgency_level urgency;
        /// Time until the first room is expected, and until the call's deadline.
        micros not_before{0};
        micros time_left{0};
        time_point now{};
    };

    /// The time after which the caller is to return.
    [[nodiscard]] micros assign(const query& refused);
    /// A call of the customer was sent, in room that refused callers may get next.
    void on_sent(const service_id& service, const customer_id& customer, time_point now);

private:
    static constexpr micros rate_memory{1'000'000};

    struct line {
        decaying_sum sent{rate_memory};
        /// The first return time that is free, by level.
        std::array<time_point, urgency_level::count> next{};
    };
    using line_key = std::pair<service_id, customer_id>;

    line& line_of(const service_id& service, const customer_id& customer, time_point now);

    random_source& random_;
    absl::flat_hash_map<line_key, line> lines_;
};

} // namespace jujubetide
