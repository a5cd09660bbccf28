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
        planners_.clear();
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
    service_load load = running_load(service);
    load.busy = found == demand.end() ? 0.0 : found->second;
    scaling_limits limits = *service.scaling;
    for (const failure_domain_id& domain : state_.backends.evacuated().all()) {
        limits.prices.erase(domain); // Nothing is ordered there; its servers stay for their return.
    }
    const server_counts wanted =
        planners_[service.id].plan(limits, load, present, state_.time.now());
    for (const auto& [group, count] : wanted) {
        order_state& order = orders_[{service.id, group}];
        order.wanted = count;
        order.load = load;
        const bool is_due = order.accepted_count != count || planners_[service.id].is_short(group);
        if (!order.pending && is_due && state_.time.now() >= order.retry_at) {
            send(service.id, group, order);
        }
    }
}

service_load server_scaler::running_load(const serving_service& service) const {
    service_load load;
    for (const auto& [id, entry] : state_.backends.all()) {
        if (entry.server.service != service.id) {
            continue;
        }
        const server_load running = state_.loads.total(id);
        load.occupied += static_cast<double>(running.running) /
                         static_cast<double>(std::max<std::size_t>(1, entry.server.slots));
        if (service.engine && service.engine->kv_tokens.value() > 0) {
            load.memory += static_cast<double>(running.held_tokens) /
                           static_cast<double>(service.engine->kv_tokens.value());
        }
    }
    return load;
}

void server_scaler::send(const service_id& service, const server_group& group, order_state& order) {
    const auto fencing = lease_.permit();
    if (!fencing.ok()) {
        return;
    }
    order.pending = true;
    const unsigned count = order.wanted;
    const service_load load = order.load;
    calls_.order_servers(
        {state_.settings.node, *fencing}, {service, group.failure_domain, group.reclaimable, count},
        [this, service, group, count, load](const absl::Status& result) {
            state_.log.write(result.ok() ? servers_ordered : servers_not_ordered,
                             {{"service", service.str()},
                              {"failure_domain", group.failure_domain.str()},
                              {"reclaimable", group.reclaimable ? "yes" : "no"},
                              {"count", absl::StrCat(count)},
                              {"busy_servers", absl::StrFormat("%.2f", load.busy)},
                              {"occupied_servers", absl::StrFormat("%.2f", load.occupied)},
                              {"memory_servers", absl::StrFormat("%.2f", load.memory)},
                              {"result", std::string(result.message())}});
            const auto found = orders_.find({service, group});
            if (found == orders_.end()) {
                return; // The duties were lost in the meantime.
            }
            found->second.pending = false;
            found->second.retry_at = state_.time.now() + (result.ok() ? micros{0} : retry_delay);
            if (result.ok()) {
                found->second.accepted_count = count;
                planners_[service].on_order_accepted(group, state_.time.now());
                return;
            }
            found->second.accepted_count.reset();
            if (absl::IsAborted(result)) {
                planners_[service].on_order_refused(group);
            }
        });
}

} // namespace jujubetide
