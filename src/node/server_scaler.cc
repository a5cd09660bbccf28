#include "node/server_scaler.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace jujubetide {
namespace {

constexpr micros step_period{1'000'000};
/// The demand of all nodes is known this long after the duties were taken.
constexpr micros settle_time{1'000'000};
/// Wait before an order that was not taken is sent again.
constexpr micros retry_time{3'000'000};

} // namespace

server_scaler::server_scaler(serving_state& state, peer_exchange& peers, duty_lease& lease,
                             platform_api& calls)
    : state_(state), peers_(peers), lease_(lease), calls_(calls) {}

void server_scaler::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

void server_scaler::step() {
    const time_point now = state_.time.now();
    if (!lease_.held()) {
        held_since_.reset();
        orders_.clear();
        return;
    }
    if (!held_since_) {
        held_since_ = now;
    }
    if (now - *held_since_ < settle_time || !state_.config) {
        return;
    }
    const std::map<service_id, double> demand = peers_.total_demand();
    for (const serving_service& service : state_.config->services()) {
        if (service.scaling) {
            plan(service, demand);
        }
    }
}

void server_scaler::plan(const serving_service& service,
                         const std::map<service_id, double>& demand) {
    server_numbers present;
    for (const backend_server* server : state_.backends.usable(service.id)) {
        ++present[{server->failure_domain, server->reclaimable}];
    }
    const auto found = demand.find(service.id);
    const double busy = found == demand.end() ? 0.0 : found->second;
    const server_numbers wanted =
        planners_[service.id].plan(*service.scaling, busy, present, state_.time.now());
    for (const auto& [group, count] : wanted) {
        order_state& order = orders_[{service.id, group}];
        order.wanted = count;
        order.busy = busy;
        if (!order.pending && order.taken != count && state_.time.now() >= order.retry_at) {
            send(service.id, group, order);
        }
    }
}

void server_scaler::send(const service_id& service, const server_group& group, order_state& order) {
    const auto fencing = lease_.permit();
    if (!fencing.ok()) {
        return;
    }
    order.pending = true;
    const unsigned count = order.wanted;
    const double busy = order.busy;
    calls_.order_servers({state_.settings.node, *fencing},
                         {service, group.failure_domain, group.reclaimable, count},
                         [this, service, group, count, busy](const absl::Status& done) {
                             state_.log.write(done.ok() ? servers_ordered : servers_not_ordered,
                                              {{"service", service.str()},
                                               {"failure_domain", group.failure_domain.str()},
                                               {"reclaimable", group.reclaimable ? "yes" : "no"},
                                               {"count", absl::StrCat(count)},
                                               {"busy_servers", absl::StrFormat("%.2f", busy)},
                                               {"result", std::string(done.message())}});
                             const auto found = orders_.find({service, group});
                             if (found == orders_.end()) {
                                 return; // The duties were lost meanwhile.
                             }
                             found->second.pending = false;
                             if (done.ok()) {
                                 found->second.taken = count;
                             } else {
                                 found->second.taken.reset();
                                 found->second.retry_at = state_.time.now() + retry_time;
                             }
                         });
}

} // namespace jujubetide
