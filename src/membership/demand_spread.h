#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/limits/customer_demand.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// Customers' demand on its way through the loads' messages. Each node reports its own demand to
/// the collector of its failure domain; the collector tells the domain's sums to all. Only
/// customers with demand are told, the largest first, up to a cap. What is not told again is
/// forgotten. Not thread-safe.
class demand_spread {
public:
    /// How often reports and sums go out.
    static constexpr micros period{2'000'000};
    /// A node's report counts at the collector for this time, a domain's sums at all others.
    static constexpr micros report_lifetime{6'000'000};
    static constexpr micros sums_lifetime{10'000'000};
    /// Customers in one report, and in one failure domain's sums.
    static constexpr std::size_t max_reported = 16;
    static constexpr std::size_t max_summed = 24;

    explicit demand_spread(const member& self) : self_(self) {}

    /// Customers are known by the settings' names; others are not told.
    void set_settings(const snapshot_ptr& settings);
    void set_own(const std::vector<customer_demand>& demand, time_point now);

    /// The packed report or sums to go out in this round; empty when there is nothing to tell.
    std::string report(time_point now);
    std::string sums(time_point now);

    /// InvalidArgument when the text is not a report or sums.
    [[nodiscard]] static absl::Status check(const std::string& packed);
    void on_report(const node_id& from, const std::string& packed, time_point now);
    /// Sums from a failure domain's collector; older ones of the same stream are ignored.
    void on_sums(const failure_domain_id& domain, std::uint64_t stream, std::uint64_t sequence,
                 const std::string& packed, time_point now);

    /// What all other nodes together told.
    [[nodiscard]] std::vector<customer_demand> others(time_point now) const;

private:
    /// Tokens a second by the hash of service and customer; ordered, so that the same events give
    /// the same messages in every process.
    using demand_map = std::map<std::uint32_t, double>;
    struct told_demand {
        demand_map demand;
        time_point received{};
    };
    struct told_sums {
        demand_map demand;
        std::uint64_t stream = 0;
        std::uint64_t sequence = 0;
        time_point received{};
    };

    [[nodiscard]] bool is_due(time_point now);
    [[nodiscard]] demand_map own_at(time_point now) const;
    [[nodiscard]] static std::string pack(const demand_map& demand, std::size_t cap);
    [[nodiscard]] static demand_map unpack(const std::string& packed);

    member self_;
    /// Service, customer and share by hash; pairs whose hashes collide are left out.
    absl::flat_hash_map<std::uint32_t, customer_demand> names_;
    told_demand own_;
    std::map<node_id, told_demand> reports_;
    std::map<failure_domain_id, told_sums> sums_;
    time_point next_{};
};

} // namespace jujubetide
