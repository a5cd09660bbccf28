#include "jujubetide/moves/sequential_test.h"

#include <algorithm>
#include <cmath>

// Given the totals of a window and the sum K of the hits, the trial's hits follow the central
// hypergeometric distribution when both versions are alike, whatever the common rate. The ratio of
// the noncentral to the central likelihood is therefore an exact e-value that does not depend on
// the load, on incidents that strike both versions or on changes from window to window.
//
// A fault may begin in any window s. With weights w_s that sum to at most 1, the sum of w_s times
// the product of the e-values from s on is an e-process too; it obeys M_t = e_t (M_{t-1} + w_t).
// Half of the weight lies on the first window, so that faults from the start are found sooner.
// By Ville's inequality P(sup M >= 1/a) <= a.

namespace jujubetide {
namespace {

constexpr double first_window_weight = 0.5;
/// Restarts of the steering test during one move that the false-alarm rate covers.
constexpr double covered_restarts = 16.0;
/// Failures and latency.
constexpr double kinds_of_test = 2.0;
/// One half of the rate for the nodes' own tests, one for the test over all nodes.
constexpr double places_of_test = 2.0;

double evidence_sum(const std::array<double, 4>& evidence) {
    double sum = 0.0;
    for (const double part : evidence) {
        sum += part / static_cast<double>(evidence.size());
    }
    return sum;
}

} // namespace

double window_e_value(const window_comparison& counts, double odds_ratio) {
    const std::uint64_t hits = counts.trial_hits + counts.baseline_hits;
    if (hits == 0 || counts.trial_total == 0 || counts.baseline_total == 0) {
        return 1.0;
    }
    const std::uint64_t lowest =
        hits > counts.baseline_total ? hits - counts.baseline_total : std::uint64_t{0};
    const std::uint64_t highest = std::min(hits, counts.trial_total);
    // long double holds the binomial coefficients of windows with thousands of requests.
    long double weight = 1.0L;
    long double central = 0.0L;
    long double tilted = 0.0L;
    long double tilt =
        std::pow(static_cast<long double>(odds_ratio),
                 static_cast<long double>(lowest) - static_cast<long double>(counts.trial_hits));
    for (std::uint64_t k = lowest;; ++k) {
        central += weight;
        tilted += weight * tilt;
        if (k == highest) {
            break;
        }
        const auto up =
            static_cast<long double>(counts.trial_total - k) * static_cast<long double>(hits - k);
        const auto down = static_cast<long double>(k + 1) *
                          static_cast<long double>(counts.baseline_total + k + 1 - hits);
        weight *= up / down;
        tilt *= odds_ratio;
    }
    return static_cast<double>(central / tilted);
}

void sequential_test::add(const window_comparison& counts) {
    const double weight = added_ == 0         ? first_window_weight
                          : added_ < windows_ ? (1.0 - first_window_weight) / windows_
                                              : 0.0;
    ++added_;
    for (std::size_t i = 0; i < odds_ratios.size(); ++i) {
        const double e_value = std::min(window_e_value(counts, odds_ratios[i]), max_window_e_value);
        evidence_[i] = std::min(e_value * (evidence_[i] + weight), 1e300);
    }
    peak_log_evidence_ = std::max(peak_log_evidence_, log_evidence());
}

double sequential_test::log_evidence() const {
    return std::log(std::max(evidence_sum(evidence_), 1e-300));
}

double alarm_budget::node_threshold() const {
    const double tests = kinds_of_test * static_cast<double>(std::max<std::size_t>(routes, 1)) *
                         static_cast<double>(std::max<std::size_t>(nodes, 1));
    return std::log(places_of_test * tests / false_alarm_rate);
}

double alarm_budget::steering_threshold() const {
    const double tests = kinds_of_test * static_cast<double>(std::max<std::size_t>(routes, 1));
    return std::log(places_of_test * tests * covered_restarts / false_alarm_rate);
}

} // namespace jujubetide
