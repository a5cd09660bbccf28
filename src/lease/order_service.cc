#include "jujubetide/lease/order_service.h"

#include <utility>

namespace jujubetide {
namespace {

/// Renewals, and orders, within one duration of a lease.
constexpr int periods_in_lease = 3;

} // namespace

order_service::order_service(table& platform_table, engine_client& engines, state_source wanted,
                             const clock& time, timer_service& timers, log_sink& log,
                             lease_options options)
    : lease_(platform_table, time, log, options), sender_(lease_, engines, log),
      wanted_(std::move(wanted)) {
    const micros period = options.duration / periods_in_lease;
    renew_task_ =
        std::make_unique<periodic_task>(timers, period, [this] { lease_.step().IgnoreError(); });
    order_task_ = std::make_unique<periodic_task>(timers, period, [this] {
        if (lease_.held()) {
            (void)sender_.bring_about(wanted_());
        }
    });
}

order_service::~order_service() {
    // No order may be under way when the lease is released, and no renewal may follow.
    order_task_.reset();
    renew_task_.reset();
    lease_.release().IgnoreError();
}

} // namespace jujubetide
