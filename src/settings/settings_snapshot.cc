#include "jujubetide/settings/settings_snapshot.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>

namespace jujubetide {

bool covers(const operator_settings& person, const std::string& path) {
    return std::any_of(person.subtrees.begin(), person.subtrees.end(),
                       [&path](const std::string& subtree) { return path.starts_with(subtree); });
}

std::shared_ptr<const settings_snapshot> settings_snapshot::make(parts checked_parts) {
    return std::shared_ptr<const settings_snapshot>(
        new settings_snapshot(std::move(checked_parts)));
}

settings_snapshot::settings_snapshot(parts checked_parts) : parts_(std::move(checked_parts)) {
    std::sort(parts_.backend_servers.begin(), parts_.backend_servers.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    for (std::size_t i = 0; i < parts_.services.size(); ++i) {
        service_index_[parts_.services[i].id.str()] = i;
    }
    for (std::size_t i = 0; i < parts_.customers.size(); ++i) {
        customer_index_[parts_.customers[i].key_sha256] = i;
    }
    for (std::size_t i = 0; i < parts_.backend_servers.size(); ++i) {
        backend_server_settings& server = parts_.backend_servers[i];
        server.id_hash = stable_hash(server.id.str());
        backend_index_[server.id.str()] = i;
        servers_of_[server.service.str()].push_back(&server);
    }
}

const service_settings* settings_snapshot::find_service(const service_id& id) const {
    const auto found = service_index_.find(id.str());
    return found == service_index_.end() ? nullptr : &parts_.services[found->second];
}

const customer_settings* settings_snapshot::find_customer(const std::string& key_sha256) const {
    const auto found = customer_index_.find(key_sha256);
    return found == customer_index_.end() ? nullptr : &parts_.customers[found->second];
}

const backend_server_settings*
settings_snapshot::find_backend_server(const backend_server_id& id) const {
    const auto found = backend_index_.find(id.str());
    return found == backend_index_.end() ? nullptr : &parts_.backend_servers[found->second];
}

const std::vector<const backend_server_settings*>&
settings_snapshot::servers_of(const service_id& id) const {
    const auto found = servers_of_.find(id.str());
    return found == servers_of_.end() ? no_servers_ : found->second;
}

} // namespace jujubetide
