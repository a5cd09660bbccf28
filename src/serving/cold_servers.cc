#include "jujubetide/serving/cold_servers.h"

#include <algorithm>

namespace jujubetide {

std::optional<call_bound> cold_servers::bound_of(const service_id& service) const {
    const auto found = traits_.find(service);
    if (!tolerance_ || found == traits_.end()) {
        return std::nullopt;
    }
    const double rate = found->second.calls_per_second;
    return call_bound{rate, rate * tolerance_->factor + tolerance_->calls};
}

void cold_servers::on_config(const serving_config& config) {
    traits_.clear();
    for (const serving_service& service : config.services()) {
        if (service.cold) {
            traits_[service.id] = *service.cold;
        }
    }
    for (const auto& [id, server] : cold_) {
        limits_.set_bound(id, bound_of(server.service));
    }
}

void cold_servers::on_registered(const backend_server& server, time_point now) {
    if (!tolerance_) {
        return;
    }
    const auto found = cold_.find(server.id);
    const time_point assumed = found == cold_.end() ? time_point{} : found->second.assumed_until;
    if (server.warm_up <= millis{0} && now >= assumed) {
        end(server.id);
        return;
    }
    // The registration is read after the server wrote it, so this ends later than the server says.
    cold_[server.id] = {server.service, std::max(assumed, now + server.warm_up), assumed};
    limits_.set_bound(server.id, bound_of(server.service));
}

void cold_servers::on_returned(const backend_server& server, time_point now) {
    const auto found = traits_.find(server.service);
    if (!tolerance_ || found == traits_.end()) {
        return;
    }
    cold_server& cold = cold_[server.id];
    cold.service = server.service;
    cold.assumed_until = now + found->second.duration;
    cold.until = std::max(cold.until, cold.assumed_until);
    limits_.set_bound(server.id, bound_of(server.service));
}

std::vector<backend_server_id> cold_servers::expire(time_point now) {
    std::vector<backend_server_id> warm;
    for (const auto& [id, server] : cold_) {
        if (now >= server.until) {
            warm.push_back(id);
        }
    }
    for (const backend_server_id& id : warm) {
        end(id);
    }
    return warm;
}

void cold_servers::end(const backend_server_id& server) {
    if (cold_.erase(server) > 0) {
        limits_.set_bound(server, std::nullopt);
    }
}

} // namespace jujubetide
