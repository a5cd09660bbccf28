#pragma once

#include "control/fleet_activity.h"
#include "control/fleet_store.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/fleet/fleet_planner.h"
#include "jujubetide/fleet/fleet_steps.h"
#include "jujubetide/fleet/refused_starts.h"
#include "jujubetide/lease/lease_keeper.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/platform/cloud.h"
#include "jujubetide/platform/host_list.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

/// Plans the fleet and carries the plan out while this process holds the fleet's lease. What is
/// wanted is recorded in the table before it is ordered from the cloud, so that another holder goes
/// on with it after a crash or a lost reply. Not thread-safe.
class fleet_runner {
public:
    /// All must outlive the runner. The lease's `longest_order` must cover the cloud's timeouts.
    struct dependencies {
        blackboard& board;
        fleet_store& hosts;
        cloud& platform_cloud;
        host_list& listed;
        const fleet_activity& activity;
        fact_publisher& facts;
        const fleet_planner& planner;
        lease_keeper& lease;
        const clock& time;
        log_sink& log;
    };

    explicit fleet_runner(dependencies parts) : parts_(parts) {}

    /// Renews the lease where it is due and takes the next steps; to be called each few seconds on
    /// one thread. Blocks on the table and the cloud.
    void step();

private:
    bool read_cloud();
    void carry_out(const fleet_settings& settings, fleet_row& row);
    void start(fleet_row& row);
    void drain(const fleet_settings& settings, fleet_row& row);
    void stop(fleet_row& row);
    void forget_gone(fleet_row& row);
    void decide(const snapshot_ptr& settings, const fleet_record& record);
    void set_state(fleet_row& row, fleet_row_state state);
    void remove(fleet_row& row);
    [[nodiscard]] fleet_problem problem_of(const fleet_settings& settings,
                                           const std::vector<fleet_host>& hosts) const;
    [[nodiscard]] const fleet_plan& plan_for(const fleet_problem& problem, revision settings);
    [[nodiscard]] std::vector<fleet_host> hosts_of(const fleet_record& record) const;
    [[nodiscard]] fleet_host_state state_of(const fleet_row& row) const;
    [[nodiscard]] fleet_host_state state_of(const listed_host& host) const;
    [[nodiscard]] std::vector<fleet_row> changed_rows(const fleet_record& record,
                                                      const fleet_steps& steps) const;
    [[nodiscard]] std::optional<fleet_row> draining_row(const fleet_record& record,
                                                        const std::string& start_id) const;
    [[nodiscard]] const listed_host* find_listed(const host_id& host) const;
    [[nodiscard]] bool order_permitted() const;

    dependencies parts_;
    time_point last_prices_{};
    host_prices prices_;
    /// As read in this step.
    std::vector<listed_host> listed_;
    /// Hosts that the list has shown to this process.
    std::set<host_id> seen_;
    refused_starts refused_{refused_starts::back_off{}};
    /// The last plan and what it was made from.
    std::optional<fleet_plan> plan_;
    fleet_problem planned_;
    revision planned_settings_;
};

} // namespace jujubetide
