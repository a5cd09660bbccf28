#include "control/fleet_activity.h"

#include <vector>

namespace jujubetide {
namespace {

std::vector<const backend_server_settings*> servers_on(const snapshot_ptr& settings,
                                                       const host_id& host) {
    std::vector<const backend_server_settings*> servers;
    if (settings) {
        for (const backend_server_settings& server : settings->backend_servers()) {
            if (server.host == host) {
                servers.push_back(&server);
            }
        }
    }
    return servers;
}

} // namespace

std::optional<service_id> reported_fleet_activity::do_service_of(const host_id& host) const {
    const snapshot_ptr settings = board_.settings.current();
    const auto servers = servers_on(settings, host);
    return servers.empty() ? std::nullopt : std::optional(servers.front()->service);
}

bool reported_fleet_activity::do_serves(const host_id& host) const {
    const snapshot_ptr settings = board_.settings.current();
    for (const backend_server_settings* server : servers_on(settings, host)) {
        if (board_.backends.state(server->id).has_load) {
            return true;
        }
    }
    return false;
}

bool reported_fleet_activity::do_is_idle(const host_id& host) const {
    const snapshot_ptr settings = board_.settings.current();
    for (const backend_server_settings* server : servers_on(settings, host)) {
        const backend_state state = board_.backends.state(server->id);
        if (state.has_load && state.load.running > 0) {
            return false;
        }
    }
    return true;
}

} // namespace jujubetide
