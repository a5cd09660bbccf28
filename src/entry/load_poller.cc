#include "entry/load_poller.h"

namespace jujubetide {

load_poller::load_poller(entry_parts& parts) : parts_(parts) {
    for (std::size_t part = 0; part < thread_count; ++part) {
        threads_.push_back(std::make_unique<periodic_thread>([this, part] {
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
    const auto& servers = settings->backend_servers();
    for (std::size_t i = part; i < servers.size(); i += thread_count) {
        const service_settings* service = settings->find_service(servers[i].service);
        if (service != nullptr && service->kind == service_kind::model) {
            poll_server(servers[i]);
        }
    }
}

void load_poller::poll_server(const backend_server_settings& server) {
    const absl::StatusOr<load_report> load = parts_.engines.load(server.address);
    if (!load.ok()) {
        return;
    }
    parts_.boards.backends.report_load(server.id, *load, parts_.time.now());
    if (load->leaving && !parts_.boards.backends.is_leaving(server.host)) {
        parts_.facts.leaving_host(server.host);
    }
}

} // namespace jujubetide
