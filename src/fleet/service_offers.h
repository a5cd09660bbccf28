#pragma once

#include "fleet/loss_cover.h"

#include "jujubetide/fleet/fleet_problem.h"

#include <vector>

namespace jujubetide {

/// The hosts that a service can have: those that run, at their price, and new ones, whose price
/// includes the start.
class service_offers {
public:
    service_offers(const fleet_problem& problem, const service_id& service);

    /// Keeps only the hosts of one kind.
    void keep(bool reclaimable);
    /// Keeps only the hosts of one failure domain.
    void keep(const failure_domain_id& failure_domain);

    [[nodiscard]] const std::vector<failure_domain_id>& failure_domains() const { return domains_; }
    [[nodiscard]] loss_cover cover(double required) const;
    /// All hosts that run.
    [[nodiscard]] cover_counts running() const;
    [[nodiscard]] host_counts hosts_of(const cover_counts& counts) const;

private:
    struct entry {
        host_offer offer;
        cover_offer cover;
        bool running = false;
    };

    void add(const fleet_problem& problem, const host_offer& offer, std::size_t running);
    std::size_t domain_number(const host_offer& offer);
    template <class Wanted>
    void keep_if(const Wanted& wanted);

    std::vector<entry> entries_;
    std::vector<failure_domain_id> domains_;
};

} // namespace jujubetide
