#include "fleet/loss_cover.h"

#include "fleet/cover_search.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

// Let r be the reclaimable capacity of a domain and L a limit. Counts survive the loss of any
// domain if and only if, for some L, the capacity that is never lost plus the sum of min(r, L) over
// the domains is at least the requirement plus L (take L as the largest r). For a given L this is
// an ordinary covering problem, which a greedy fill by price for gained capacity solves well.
// Several limits are tried; the best fills are then improved by exchanges of one or two hosts.
// Where few hosts are needed, a single one matters, and cover_search looks for a cheaper choice.

namespace jujubetide {
namespace {

constexpr double relative_tolerance = 1e-9;
constexpr std::size_t most_limits = 48;
constexpr std::size_t improved_fills = 6;
/// Hosts of the smallest class up to which all choices are searched.
constexpr double most_searched_hosts = 24.0;

/// Evenly spaced values of a sorted list, at most `most`.
std::vector<double> sample(const std::vector<double>& sorted, std::size_t most) {
    if (sorted.size() <= most) {
        return sorted;
    }
    std::vector<double> chosen;
    for (std::size_t i = 0; i < most; ++i) {
        chosen.push_back(sorted[i * (sorted.size() - 1) / (most - 1)]);
    }
    return chosen;
}

void sort_distinct(std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

} // namespace

loss_cover::loss_cover(std::vector<cover_offer> offers, std::size_t domains, double required)
    : offers_(std::move(offers)), domains_(domains), required_(required),
      tolerance_(required * relative_tolerance) {
    // No cheapest choice has more hosts of an offer than these.
    for (cover_offer& offer : offers_) {
        offer.most = std::min(
            offer.most, static_cast<std::size_t>(std::ceil((required - tolerance_) / offer.rate)));
    }
}

std::optional<cover_counts> loss_cover::solve(const cover_counts& known) const {
    std::optional<cover_counts> filled = solve_by_fills(known);
    if (!is_small()) {
        return filled;
    }
    const double bound = filled ? cost_of(*filled) * (1.0 - relative_tolerance)
                                : std::numeric_limits<double>::infinity();
    std::optional<cover_counts> searched =
        cover_search(offers_, domains_, required_, tolerance_).below(bound);
    return searched ? searched : filled;
}

bool loss_cover::is_small() const {
    return std::all_of(offers_.begin(), offers_.end(), [this](const cover_offer& offer) {
        return required_ <= offer.rate * most_searched_hosts;
    });
}

std::optional<cover_counts> loss_cover::solve_by_fills(const cover_counts& known) const {
    std::vector<std::pair<double, cover_counts>> fills;
    const auto add = [this, &fills](cover_counts counts) {
        trim(counts);
        fills.emplace_back(cost_of(counts), std::move(counts));
    };
    if (covers(known)) {
        add(known);
    }
    for (const double limit : domain_limits()) {
        cover_counts counts(offers_.size(), 0);
        if (fill(counts, limit)) {
            add(std::move(counts));
        }
    }
    std::sort(fills.begin(), fills.end());
    fills.erase(std::unique(fills.begin(), fills.end()), fills.end());
    fills.resize(std::min(fills.size(), improved_fills));
    for (auto& [cost, counts] : fills) {
        improve(counts);
        cost = cost_of(counts);
    }
    const auto best = std::min_element(fills.begin(), fills.end());
    return best == fills.end() ? std::nullopt : std::optional(best->second);
}

cover_counts loss_cover::fill_without_loss(cover_counts least) const {
    std::vector<cover_offer> safe = offers_;
    for (cover_offer& offer : safe) {
        offer.domain = cover_offer::never_lost;
    }
    const loss_cover without_loss(std::move(safe), 0, required_);
    (void)without_loss.fill(least, 0.0);
    return least;
}

loss_cover::capacity loss_cover::capacity_of(const cover_counts& counts) const {
    capacity sum{0.0, std::vector<double>(domains_, 0.0)};
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        const double rate = offers_[i].rate * static_cast<double>(counts[i]);
        (offers_[i].domain == cover_offer::never_lost ? sum.kept : sum.lost[offers_[i].domain]) +=
            rate;
    }
    return sum;
}

double loss_cover::worst_domain(const cover_counts& counts) const {
    const capacity have = capacity_of(counts);
    return have.lost.empty() ? 0.0 : *std::max_element(have.lost.begin(), have.lost.end());
}

bool loss_cover::covers(const cover_counts& counts) const {
    const capacity have = capacity_of(counts);
    double worst = 0.0;
    double all = have.kept;
    for (const double rate : have.lost) {
        worst = std::max(worst, rate);
        all += rate;
    }
    return all - worst >= required_ - tolerance_;
}

double loss_cover::cost_of(const cover_counts& counts) const {
    double cost = 0.0;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        cost += offers_[i].price * static_cast<double>(counts[i]);
    }
    return cost;
}

std::vector<double> loss_cover::domain_limits() const {
    std::vector<double> limits{0.0};
    for (std::size_t used = 2; used <= domains_; ++used) {
        limits.push_back(required_ / static_cast<double>(used - 1));
    }
    std::vector<double> multiples;
    for (const cover_offer& offer : offers_) {
        for (std::size_t count = 1; count <= offer.most; ++count) {
            multiples.push_back(offer.rate * static_cast<double>(count));
        }
    }
    sort_distinct(multiples);
    for (const double limit : sample(multiples, most_limits)) {
        limits.push_back(limit);
    }
    sort_distinct(limits);
    return limits;
}

/// Adds hosts until the capacity, of which each domain counts up to the limit, is the requirement
/// and the limit together. Returns whether the offers suffice.
bool loss_cover::fill(cover_counts& counts, double domain_limit) const {
    while (true) {
        const capacity have = capacity_of(counts);
        double missing = required_ + domain_limit - have.kept;
        for (const double rate : have.lost) {
            missing -= std::min(rate, domain_limit);
        }
        if (missing <= tolerance_) {
            return true;
        }
        const std::size_t best = cheapest_gain(counts, have, domain_limit, missing);
        if (best == offers_.size()) {
            return false;
        }
        const cover_offer& offer = offers_[best];
        const double room = offer.domain == cover_offer::never_lost
                                ? missing
                                : std::min(missing, domain_limit - have.lost[offer.domain]);
        const auto whole = static_cast<std::size_t>(room / offer.rate);
        counts[best] += std::clamp<std::size_t>(whole, 1, offer.most - counts[best]);
    }
}

/// The offer whose next host costs least for the capacity gained; the number of offers where none
/// gains any.
std::size_t loss_cover::cheapest_gain(const cover_counts& counts, const capacity& have,
                                      double domain_limit, double missing) const {
    std::size_t best = offers_.size();
    double best_ratio = 0.0;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        const cover_offer& offer = offers_[i];
        const double room = offer.domain == cover_offer::never_lost
                                ? missing
                                : std::min(missing, domain_limit - have.lost[offer.domain]);
        const double gain = std::min(offer.rate, room);
        if (counts[i] >= offer.most || gain <= tolerance_) {
            continue;
        }
        const double ratio = offer.price / gain;
        if (best == offers_.size() || ratio < best_ratio) {
            best = i;
            best_ratio = ratio;
        }
    }
    return best;
}

/// Removes hosts that are not needed, the dearest first.
void loss_cover::trim(cover_counts& counts) const {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        if (counts[i] > 0) {
            order.push_back(i);
        }
    }
    std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return offers_[a].price > offers_[b].price;
    });
    for (const std::size_t i : order) {
        while (counts[i] > 0) {
            --counts[i];
            if (!covers(counts)) {
                ++counts[i];
                break;
            }
        }
    }
}

void loss_cover::improve(cover_counts& counts) const {
    while (exchange(counts)) {
    }
}

/// Takes one or two hosts out and fills up again; returns whether that became cheaper.
bool loss_cover::exchange(cover_counts& counts) const {
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        if (counts[i] == 0) {
            continue;
        }
        cover_counts fewer = counts;
        --fewer[i];
        if (refill_cheaper(counts, fewer)) {
            return true;
        }
        for (std::size_t j = i; j < offers_.size(); ++j) {
            if (fewer[j] == 0) {
                continue;
            }
            cover_counts two_fewer = fewer;
            --two_fewer[j];
            if (refill_cheaper(counts, std::move(two_fewer))) {
                return true;
            }
        }
    }
    return false;
}

bool loss_cover::refill_cheaper(cover_counts& counts, cover_counts fewer) const {
    const double cost = cost_of(counts);
    for (const double limit : {worst_domain(counts), worst_domain(fewer)}) {
        cover_counts refilled = fewer;
        if (!fill(refilled, limit)) {
            continue;
        }
        trim(refilled);
        if (cost_of(refilled) < cost * (1.0 - relative_tolerance)) {
            counts = std::move(refilled);
            return true;
        }
    }
    return false;
}

} // namespace jujubetide
