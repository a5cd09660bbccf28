#include "fleet/cover_search.h"

#include <algorithm>
#include <limits>
#include <utility>

// As in loss_cover, counts survive any loss if, for some limit L, the capacity of all groups, with
// that of each domain counted up to L, is at least the requirement plus L. The largest capacity of
// a domain in the best choice is the capacity of one of that domain's undominated choices, so these
// are all the limits to try. For each, the groups' choices are combined one group after another,
// and of the combinations only the undominated ones are kept.

namespace jujubetide {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();
/// More combinations than these are thinned out; the result is then no longer exact.
constexpr std::size_t most_combinations = 512;

/// Keeps, by growing capacity, what no other entry beats in both capacity and cost.
template <class Entry>
void keep_undominated(std::vector<Entry>& entries) {
    std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
        return a.rate != b.rate ? a.rate > b.rate : a.cost < b.cost;
    });
    double least = infinity;
    std::vector<Entry> kept;
    for (Entry& entry : entries) {
        if (entry.cost < least) {
            least = entry.cost;
            kept.push_back(std::move(entry));
        }
    }
    std::reverse(kept.begin(), kept.end());
    entries = std::move(kept);
}

template <class Entry>
void thin_out(std::vector<Entry>& entries) {
    if (entries.size() <= most_combinations) {
        return;
    }
    std::vector<Entry> kept;
    for (std::size_t i = 0; i < most_combinations; ++i) {
        kept.push_back(entries[i * (entries.size() - 1) / (most_combinations - 1)]);
    }
    entries = std::move(kept);
}

} // namespace

cover_search::cover_search(const std::vector<cover_offer>& offers, std::size_t domains,
                           double required, double tolerance)
    : offers_(offers), required_(required), tolerance_(tolerance) {
    for (std::size_t domain = 0; domain < domains; ++domain) {
        groups_.push_back(make_group(domain));
    }
    groups_.push_back(make_group(cover_offer::never_lost));
    least_price_from_.assign(groups_.size() + 1, infinity);
    for (std::size_t i = groups_.size(); i-- > 0;) {
        least_price_from_[i] = std::min(least_price_from_[i + 1], groups_[i].least_price_of_rate);
    }
}

cover_search::group cover_search::make_group(std::size_t domain) const {
    group made{domain != cover_offer::never_lost, infinity, {choice{}}};
    made.choices.front().counts.assign(offers_.size(), 0);
    for (std::size_t i = 0; i < offers_.size(); ++i) {
        if (offers_[i].domain == domain && offers_[i].most > 0) {
            extend(made.choices, i);
            made.least_price_of_rate =
                std::min(made.least_price_of_rate, offers_[i].price / offers_[i].rate);
        }
    }
    return made;
}

void cover_search::extend(std::vector<choice>& choices, std::size_t offer) const {
    std::vector<choice> extended;
    for (const choice& from : choices) {
        choice with = from;
        extended.push_back(with);
        for (std::size_t i = 0; i < offers_[offer].most; ++i) {
            if (with.rate >= required_ - tolerance_) {
                break;
            }
            ++with.counts[offer];
            with.rate += offers_[offer].rate;
            with.cost += offers_[offer].price;
            extended.push_back(with);
        }
    }
    keep_undominated(extended);
    thin_out(extended);
    choices = std::move(extended);
}

std::optional<cover_counts> cover_search::below(double cost_bound) const {
    std::vector<std::pair<double, double>> limits;
    for (const double limit : domain_limits()) {
        limits.emplace_back(least_cost(limit), limit);
    }
    std::sort(limits.begin(), limits.end());
    std::optional<cover_counts> best;
    for (const auto& [least, limit] : limits) {
        if (least >= cost_bound) {
            break;
        }
        if (auto found = search(limit, cost_bound)) {
            best = std::move(found);
        }
    }
    return best;
}

std::vector<double> cover_search::domain_limits() const {
    std::vector<double> limits{0.0};
    for (const group& each : groups_) {
        for (const choice& one : each.choices) {
            if (each.can_be_lost) {
                limits.push_back(std::min(one.rate, required_));
            }
        }
    }
    std::sort(limits.begin(), limits.end());
    limits.erase(std::unique(limits.begin(), limits.end()), limits.end());
    return limits;
}

/// A lower bound of the cost under the limit: as if parts of hosts could be had.
double cover_search::least_cost(double domain_limit) const {
    const double needed = required_ + domain_limit - tolerance_;
    std::vector<std::pair<double, double>> prices;
    for (const group& each : groups_) {
        prices.emplace_back(each.least_price_of_rate, each.can_be_lost ? domain_limit : needed);
    }
    std::sort(prices.begin(), prices.end());
    double missing = needed;
    double cost = 0.0;
    for (const auto& [price, most] : prices) {
        const double taken = std::min(missing, most);
        if (taken > 0.0) {
            cost += price * taken;
            missing -= taken;
        }
    }
    if (missing > 0.0) {
        return infinity;
    }
    return cost;
}

/// The cheapest counts under the limit that cost less than `bound`, which is lowered to their cost.
std::optional<cover_counts> cover_search::search(double domain_limit, double& bound) const {
    std::vector<stage> stages{{partial{}}};
    for (std::size_t i = 0; i < groups_.size(); ++i) {
        stages.push_back(next_stage(stages.back(), i, domain_limit, bound));
    }
    const double needed = required_ + domain_limit - tolerance_;
    const stage& last = stages.back();
    for (std::size_t i = 0; i < last.size(); ++i) {
        // By growing capacity and cost: the first that suffices is the cheapest.
        if (last[i].rate >= needed && last[i].cost < bound) {
            bound = last[i].cost;
            return counts_of(stages, i);
        }
    }
    return std::nullopt;
}

cover_search::stage cover_search::next_stage(const stage& before, std::size_t number,
                                             double domain_limit, double bound) const {
    const double needed = required_ + domain_limit - tolerance_;
    const group& joined = groups_[number];
    const double most = joined.can_be_lost ? domain_limit : needed;
    stage next;
    for (std::size_t i = 0; i < before.size(); ++i) {
        for (std::size_t j = 0; j < joined.choices.size(); ++j) {
            const choice& taken = joined.choices[j];
            const partial both{std::min(before[i].rate + std::min(taken.rate, most), needed),
                               before[i].cost + taken.cost, i, j};
            const double missing = needed - both.rate;
            const double rest = missing > 0.0 ? missing * least_price_from_[number + 1] : 0.0;
            if (both.cost + rest < bound) {
                next.push_back(both);
            }
            if (taken.rate >= most || missing <= 0.0) {
                break;
            }
        }
    }
    keep_undominated(next);
    thin_out(next);
    return next;
}

cover_counts cover_search::counts_of(const std::vector<stage>& stages, std::size_t last) const {
    cover_counts counts(offers_.size(), 0);
    for (std::size_t number = groups_.size(); number-- > 0;) {
        const partial& entry = stages[number + 1][last];
        const cover_counts& chosen = groups_[number].choices[entry.chosen].counts;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            counts[i] += chosen[i];
        }
        last = entry.parent;
    }
    return counts;
}

} // namespace jujubetide
