#pragma once

#include "fleet/cover_offer.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jujubetide {

/// Searches all choices of few hosts for the cheapest that covers what is required after the loss
/// of any one domain. Choices that cost more and give less than another are dropped early.
class cover_search {
public:
    /// The `most` of each offer must be finite. The offers must outlive the search.
    cover_search(const std::vector<cover_offer>& offers, std::size_t domains, double required,
                 double tolerance);

    /// The cheapest counts that cost less than `cost_bound`, or nothing.
    [[nodiscard]] std::optional<cover_counts> below(double cost_bound) const;

private:
    /// A choice of hosts of one group.
    struct choice {
        double rate = 0.0;
        double cost = 0.0;
        cover_counts counts;
    };
    /// The offers of one failure domain, or those that are never lost, with all choices that no
    /// other dominates, by growing capacity and cost.
    struct group {
        bool can_be_lost = false;
        double least_price_of_rate = 0.0;
        std::vector<choice> choices;
    };
    /// Choices of the groups so far.
    struct partial {
        double rate = 0.0;
        double cost = 0.0;
        std::size_t parent = 0;
        std::size_t chosen = 0;
    };
    using stage = std::vector<partial>;

    [[nodiscard]] group make_group(std::size_t domain) const;
    void extend(std::vector<choice>& choices, std::size_t offer) const;
    [[nodiscard]] std::vector<double> domain_limits() const;
    [[nodiscard]] double least_cost(double domain_limit) const;
    [[nodiscard]] std::optional<cover_counts> search(double domain_limit, double& bound) const;
    [[nodiscard]] stage next_stage(const stage& before, std::size_t number, double domain_limit,
                                   double bound) const;
    [[nodiscard]] cover_counts counts_of(const std::vector<stage>& stages, std::size_t last) const;

    const std::vector<cover_offer>& offers_;
    double required_;
    double tolerance_;
    std::vector<group> groups_;
    /// The least price for a unit of capacity in the groups from each on.
    std::vector<double> least_price_from_;
};

} // namespace jujubetide
