#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/timer_service.h"
#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/lease/lease_keeper.h"
#include "jujubetide/lease/order_sender.h"

#include <functional>
#include <memory>
#include <vector>

namespace jujubetide {

/// Competes for one lease and, while it holds it, keeps the engines in their desired states. Every
/// control process may run one.
class order_service {
public:
    /// Returns the desired states; called once each period while the lease is held.
    using state_source = std::function<std::vector<desired_engine_state>()>;

    /// All but the options must outlive the service. Renews the lease and orders each third of the
    /// lease's duration, each on a thread of its own, so that a slow engine delays no renewal.
    order_service(table& platform_table, engine_client& engines, state_source wanted,
                  const clock& time, timer_service& timers, log_sink& log, lease_options options);
    /// Waits for running orders, then releases the lease.
    ~order_service();
    order_service(const order_service&) = delete;
    order_service& operator=(const order_service&) = delete;

    [[nodiscard]] bool holds_lease() const { return lease_.held(); }

private:
    lease_keeper lease_;
    order_sender sender_;
    state_source wanted_;
    std::unique_ptr<periodic_task> renew_task_;
    std::unique_ptr<periodic_task> order_task_;
};

} // namespace jujubetide
