#include "entry/load_poller.h"

namespace jujubetide {
namespace {

bool is_model_engine(const settings_snapshot& settings, const backend_server_settings& server) {
    const service_settings* service = settings.find_service(server.service);
    return service != nullptr && service->kind == service_kind::model;
}

} // namespace

load_poller::load_poller(entry_parts& parts, membership_node& membership)
    : parts_(parts), membership_(membership) {
    for (std::size_t part = 0; part < thread_count; ++part) {
        tasks_.push_back(std::make_unique<periodic_task>(parts.timers, [this, part] {
            poll_part(part);
            return period;
        }));
    }
}

void load_poller::poll_part(std::size_t part) {
    const snapshot_ptr settings = parts_.boards.settings.current();
    if (settings == nullptr) {
        return;
    }
    const std::vector<backend_server_id> watched = membership_.watched_servers();
    for (std::size_t i = part; i < watched.size(); i += thread_count) {
        const backend_server_settings* server = settings->find_backend_server(watched[i]);
        if (server != nullptr && is_model_engine(*settings, *server)) {
            poll_server(*server);
        }
    }
}

void load_poller::poll_server(const backend_server_settings& server) {
    const absl::StatusOr<load_report> load = parts_.engines.load(server.address);
    if (!load.ok()) {
        return;
    }
    membership_.report_load(server.id, *load);
    if (load->leaving && !parts_.boards.backends.is_leaving(server.host)) {
        parts_.facts.leaving_host(server.host);
    }
}

} // namespace jujubetide
