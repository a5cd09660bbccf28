#pragma once

#include "jujubetide/moves/move_evidence.h"
#include "jujubetide/moves/sequential_test.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// A clear fault of the version under trial.
struct move_fault {
    route_id route;
    /// "failures" or "latency".
    std::string kind;
    /// Natural logarithm of the evidence.
    double log_evidence = 0.0;

    /// In words, for operators.
    [[nodiscard]] std::string describe() const;
};

/// The sequential tests of a move: failures and latency of each route, against the old version in
/// the same window. Not thread-safe.
class move_tests {
public:
    /// Latencies of the version under trial count as slow only beyond this many buckets (a factor
    /// of 2^(2/4) = 1.41), since its few servers run at full load.
    static constexpr std::size_t tolerated_buckets = 2;

    /// Tests of latency on each route, with different bounds of what counts as slow.
    static constexpr std::size_t latency_tests = 3;

    explicit move_tests(std::uint32_t windows) : windows_(windows) {}

    /// Adds one closed window.
    void add(const std::map<route_id, move_evidence::arm_counts>& totals);
    /// The strongest fault whose evidence reached `log_threshold`.
    [[nodiscard]] std::optional<move_fault> fault(double log_threshold) const;
    /// Whether some test stands at or above `log_level` now.
    [[nodiscard]] bool suspicious(double log_level) const;
    /// Requests of the version under trial and of both versions in the windows added, by route.
    struct route_totals {
        std::uint64_t trial = 0;
        std::uint64_t all = 0;
    };
    [[nodiscard]] const std::map<route_id, route_totals>& totals() const { return totals_; }

private:
    struct route_tests {
        sequential_test failures;
        /// Latencies over the median, the upper quartile and the upper decile of both versions.
        std::array<sequential_test, latency_tests> latency;
        /// Windows put together until they are worth a comparison.
        move_evidence::arm_counts pending;
        std::uint32_t pending_windows = 0;
    };

    static void test_pending(route_tests& tests);

    std::uint32_t windows_;
    std::map<route_id, route_tests> routes_;
    std::map<route_id, route_totals> totals_;
};

} // namespace jujubetide
