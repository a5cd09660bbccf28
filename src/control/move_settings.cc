#include "control/move_settings.h"

#include <algorithm>

namespace jujubetide {

move_controller_settings move_settings_for(const blackboard& board, const version_move& move) {
    move_controller_settings made;
    const snapshot_ptr settings = board.settings.current();
    const service_settings* service = settings ? settings->find_service(move.service) : nullptr;
    if (service == nullptr) {
        return made;
    }
    made.routes = std::max<std::size_t>(service->routes.size(), 1);
    double running = 0.0;
    double max_running = 1.0;
    for (const backend_server_settings* server : settings->servers_of(move.service)) {
        running += board.backends.state(server->id).load.running;
        if (server->version == move.to) {
            max_running = static_cast<double>(server->max_running);
        }
    }
    made.server_share = full_server_share(running, max_running);
    return made;
}

} // namespace jujubetide
