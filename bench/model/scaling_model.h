#pragma once

#include "model/server_market.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide::model {

/// Load and reclaims of a run.
struct scaling_scenario {
    struct reclaim {
        micros at{0};
        std::size_t domain = 0;
        micros dry_for{0};
    };

    std::string name;
    /// Mean server time that calls need per second, in servers.
    double mean_busy = 4.0;
    /// Relative height of a wave of 40 s.
    double swing = 0.0;
    /// Factor of the load from `burst_at` on, for `burst_length`.
    double burst = 1.0;
    micros burst_at{0};
    micros burst_length{0};
    /// Mean server time of a call; single calls vary with `work_sigma`, lognormally.
    double work_s = 0.06;
    double work_sigma = 0.8;
    std::vector<reclaim> reclaims;
    /// Reliable servers of each domain at the start.
    unsigned initial = 2;
    scaling_limits limits;
    micros length{std::chrono::seconds(180)};

    /// Mean load at a time.
    [[nodiscard]] double busy_at(micros time) const;
};

/// What a scaling policy may know.
struct scaling_view {
    const scaling_limits& limits;
    service_load load;
    server_counts present;
    time_point now{};
};

/// Decides on orders once a second.
class scaling_policy {
public:
    virtual ~scaling_policy() = default;
    [[nodiscard]] server_counts plan(const scaling_view& view) { return do_plan(view); }
    /// Whether an order is to be repeated although its count is the same.
    [[nodiscard]] bool repeats(const server_group& group) const { return do_repeats(group); }
    void on_answer(const server_group& group, bool accepted, time_point now) {
        do_answer(group, accepted, now);
    }

protected:
    scaling_policy() = default;
    scaling_policy(const scaling_policy&) = default;
    scaling_policy& operator=(const scaling_policy&) = default;
    virtual server_counts do_plan(const scaling_view& view) = 0;
    virtual bool do_repeats(const server_group&) const { return true; }
    virtual void do_answer(const server_group&, bool, time_point) {}
};

struct scaling_outcome {
    std::uint64_t calls = 0;
    /// Calls that waited for at most the latency target.
    std::uint64_t on_time = 0;
    /// Seconds in which fewer than nine tenths of the calls were on time.
    unsigned bad_seconds = 0;
    /// Fraction of the calls on time in the worst second.
    double worst_second = 1.0;
    /// Sum of the servers' prices over the run.
    double cost = 0.0;
};

/// Plays a scenario: calls arrive at random, wait in one queue for the servers that are present,
/// and are rejected where they would wait too long.
scaling_outcome play(const scaling_scenario& scenario, scaling_policy& policy, std::uint64_t seed);

} // namespace jujubetide::model
