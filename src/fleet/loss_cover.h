#pragma once

#include "fleet/cover_offer.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jujubetide {

/// Chooses the hosts whose capacity covers what is required after the loss of any one domain.
class loss_cover {
public:
    loss_cover(std::vector<cover_offer> offers, std::size_t domains, double required);

    /// The cheapest counts found, not dearer than `known` if those suffice; nothing where no counts
    /// suffice.
    [[nodiscard]] std::optional<cover_counts> solve(const cover_counts& known) const;
    /// Takes the offers of `least` up to these counts, and the cheapest further hosts as if no
    /// domain could be lost; less where the offers do not suffice.
    [[nodiscard]] cover_counts fill_without_loss(cover_counts least) const;

private:
    struct capacity {
        double kept = 0.0;
        /// By domain.
        std::vector<double> lost;
    };

    [[nodiscard]] capacity capacity_of(const cover_counts& counts) const;
    [[nodiscard]] double worst_domain(const cover_counts& counts) const;
    [[nodiscard]] bool covers(const cover_counts& counts) const;
    [[nodiscard]] bool is_small() const;
    [[nodiscard]] std::optional<cover_counts> solve_by_fills(const cover_counts& known) const;
    [[nodiscard]] double cost_of(const cover_counts& counts) const;
    [[nodiscard]] std::vector<double> domain_limits() const;
    [[nodiscard]] bool fill(cover_counts& counts, double domain_limit) const;
    [[nodiscard]] std::size_t cheapest_gain(const cover_counts& counts, const capacity& have,
                                            double domain_limit, double missing) const;
    void trim(cover_counts& counts) const;
    void improve(cover_counts& counts) const;
    [[nodiscard]] bool exchange(cover_counts& counts) const;
    [[nodiscard]] bool refill_cheaper(cover_counts& counts, cover_counts fewer) const;

    std::vector<cover_offer> offers_;
    std::size_t domains_;
    double required_;
    /// Capacities that differ by less are equal.
    double tolerance_;
};

} // namespace jujubetide
