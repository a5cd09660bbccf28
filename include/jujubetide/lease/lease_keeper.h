#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/lease/lease_state.h"
#include "jujubetide/platform/table.h"

#include <mutex>
#include <optional>

namespace jujubetide {

/// Takes, renews and releases one lease in the platform's table. Thread-safe.
class lease_keeper {
public:
    /// The table, clock and log must outlive the keeper.
    lease_keeper(table& platform_table, const clock& time, log_sink& log, lease_options options);

    /// Renews the lease, or takes it when it is free; to be called several times within its
    /// duration. Blocks on the table. Returns the table's error; a lease that another holds is
    /// none.
    absl::Status step();
    /// For an owner that is called more often than it renews: steps the first time, and then once
    /// `period` has passed since. A renewal that fails is told by `held`.
    void step_each(micros period);
    /// Gives the lease up at once and tells others, also after a renewal without a reply. Orders
    /// that were permitted must have ended. Returns the table's error; others then wait for the
    /// lease's end.
    absl::Status release();
    /// Another holder's fencing number was met at a server.
    void lost();

    [[nodiscard]] bool held() const;
    [[nodiscard]] micros remaining() const;
    /// To be asked immediately before each order. Errors as for `lease_state::permit_order`.
    [[nodiscard]] absl::StatusOr<fencing_number> permit_order(bool server_checks_fencing) const;
    [[nodiscard]] const lease_id& lease() const { return lease_; }

private:
    absl::Status try_release();
    absl::Status read();
    absl::Status write(const lease_write& write);
    void log_change(bool held_before);

    table& table_;
    const clock& clock_;
    log_sink& log_;
    lease_id lease_;
    std::string key_;
    /// Held by `step` and `release` throughout; keeps the calls to the table in order.
    std::mutex step_mutex_;
    mutable std::mutex mutex_;
    lease_state state_;
    /// When `step_each` stepped last.
    std::optional<time_point> last_step_;
};

} // namespace jujubetide
