#include "node/server_scaler.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace jujubetide {
namespace {

constexpr micros step_period{1'000'000};
/// Time after taking the duties until the demand of all nodes has been received.
constexpr micros demand_settle_time{1'000'000};
/// Delay before an order that was not accepted is sent again.
constexpr micros retry_delay{3'000'000};

} // namespace

server_scaler::server_scaler(serving_state& state, peer_exchange& peers, duty_lease& lease,
                             platform_api& calls)
    : state_(state), peers_(peers), lease_(lease), calls_(calls) {}

void server_scaler::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

void server_scaler::step() {
    const time_point now = state_.time.now();
    if (!lease_.is_held()) {
        lease_held_since_.reset();
        orders_.clear();
        return;
    }
    if (!lease_held_since_) {
        lease_held_since_ = now;
    }
    if (now - *lease_held_since_ < demand_settle_time || !state_.config) {
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
    server_counts present;
    for (const backend_server* server : state_.backends.usable(service.id)) {
        ++present[{server->failure_domain, server->reclaimable}];
    }
    const auto found = demand.find(service.id);
    const double busy_servers = found == demand.end() ? 0.0 : found->second;
    const server_counts wanted =
        planners_[service.id].plan(*service.scaling, busy_servers, present, state_.time.now());
    for (const auto& [group, count] : wanted) {
        order_state& order = orders_[{service.id, group}];
        order.wanted = count;
        order.busy_servers = busy_servers;
        if (!order.pending && order.accepted_count != count &&
            state_.time.now() >= order.retry_at) {
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
    const double busy_servers = order.busy_servers;
    calls_.order_servers(
        {state_.settings.node, *fencing}, {service, group.failure_domain, group.reclaimable, count},
        [this, service, group, count, busy_servers](const absl::Status& result) {
            state_.log.write(result.ok() ? servers_ordered : servers_not_ordered,
                             {{"service", service.str()},
                              {"failure_domain", group.failure_domain.str()},
                              {"reclaimable", group.reclaimable ? "yes" : "no"},
                              {"count", absl::StrCat(count)},
                              {"busy_servers", absl::StrFormat("%.2f", busy_servers)},
                              {"result", std::string(result.message())}});
            const auto found = orders_.find({service, group});
            if (found == orders_.end()) {
                return; // The duties were lost in the meantime.
            }
            found->second.pending = false;
            if (result.ok()) {
                found->second.accepted_count = count;
            } else {
                found->second.accepted_count.reset();
                found->second.retry_at = state_.time.now() + retry_delay;
            }
        });
}

} // namespace jujubetide
