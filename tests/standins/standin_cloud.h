#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/platform/cloud.h"
#include "jujubetide/platform/host_list.h"

#include <map>
#include <mutex>

namespace jujubetide {

/// Hosts of a cloud in memory, with reclaim notices, prices and the lagging list of hosts; also
/// usable in place of the clients of the platform. Thread-safe.
class standin_cloud final : public cloud, public host_list {
public:
    explicit standin_cloud(const clock& time) : clock_(time) {}

    /// A host that is there from the beginning, also in the lagging list.
    void add_host(const listed_host& host);
    void set_prices(std::vector<host_price> prices);
    void set_refuse_starts(bool refuse);
    /// How old the state is that the list of hosts shows.
    void set_list_lag(millis lag);
    /// Gives notice that the host is taken back after `time_left`.
    void reclaim_host(const host_id& host, millis time_left);
    /// Gives notice for every reclaimable host of the failure domain.
    void reclaim_domain(const failure_domain_id& failure_domain, millis time_left);

protected:
    absl::StatusOr<host_id> do_start(const host_start& request) override;
    absl::Status do_stop(const host_id& host) override;
    absl::StatusOr<std::vector<reclaim_notice>> do_reclaim_notices() override;
    absl::StatusOr<std::vector<host_price>> do_prices() override;
    absl::StatusOr<std::vector<listed_host>> do_list() override;

private:
    struct host_record {
        listed_host host;
        time_point begins = time_point::min();
        time_point leaves = time_point::max();
        time_point ends = time_point::max();
    };

    void reclaim_locked(host_record& record, millis time_left);

    const clock& clock_;
    mutable std::mutex mutex_;
    std::map<host_id, host_record> hosts_;
    std::map<std::string, host_id> started_;
    std::vector<host_price> prices_;
    bool refuse_starts_ = false;
    millis list_lag_{0};
};

} // namespace jujubetide
