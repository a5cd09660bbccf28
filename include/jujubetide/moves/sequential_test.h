#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace jujubetide {

/// Hits (failures, or latencies over a bound) of the version under trial and of the old version
/// within one window.
struct window_comparison {
    std::uint64_t trial_total = 0;
    std::uint64_t trial_hits = 0;
    std::uint64_t baseline_total = 0;
    std::uint64_t baseline_hits = 0;
};

/// The likelihood ratio of `odds_ratio` against 1 for the trial's hits, given the totals and the
/// sum of the hits. Its expectation is at most 1 when the trial is no worse than the baseline,
/// whatever the common rate of hits.
double window_e_value(const window_comparison& counts, double odds_ratio);

/// A sequential test of "the version under trial is no worse" that may be looked at after every
/// window. The probability that the evidence of a version that is no worse ever reaches 1/a is at
/// most a. Each window counts for at most `max_window_e_value`, so that one burst, such as the
/// crash of one host, does not decide alone.
class sequential_test {
public:
    static constexpr double max_window_e_value = 30.0;

    /// `windows` is the number of windows within which a fault may begin.
    explicit sequential_test(std::uint32_t windows) : windows_(windows) {}

    /// Adds the next closed window.
    void add(const window_comparison& counts);
    /// The largest natural logarithm of the evidence so far.
    [[nodiscard]] double peak_log_evidence() const { return peak_log_evidence_; }
    /// The natural logarithm of the evidence now; falls again when the trial recovers.
    [[nodiscard]] double log_evidence() const;

private:
    static constexpr std::array<double, 4> odds_ratios = {2.0, 4.0, 10.0, 40.0};

    std::uint32_t windows_;
    std::uint32_t added_ = 0;
    std::array<double, odds_ratios.size()> evidence_{};
    double peak_log_evidence_ = -1e9;
};

/// How the false-alarm rate of a whole move is divided among its tests.
struct alarm_budget {
    double false_alarm_rate = 0.005;
    std::size_t routes = 1;
    /// Nodes that test their own evidence, over the whole move.
    std::size_t nodes = 1;

    /// Evidence (natural logarithm) at which one node's own test is a clear fault.
    [[nodiscard]] double node_threshold() const;
    /// Evidence (natural logarithm) at which the test over all nodes is a clear fault.
    [[nodiscard]] double steering_threshold() const;
};

} // namespace jujubetide
