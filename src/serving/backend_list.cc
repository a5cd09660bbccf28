#include "jujubetide/serving/backend_list.h"

#include <absl/container/flat_hash_set.h>

namespace jujubetide {

void backend_list::put(const backend_server& server) {
    entries_[server.id] = {server, std::nullopt};
}

void backend_list::remove(const backend_server_id& id, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    // A server that announced its stop will not register again.
    if (found->second.server.leaving) {
        entries_.erase(found);
    } else if (!found->second.lapsed_at) {
        found->second.lapsed_at = now;
    }
}

std::vector<backend_server_id> backend_list::expire(time_point now) {
    std::vector<backend_server_id> expired;
    std::erase_if(entries_, [&expired, now](const auto& item) {
        const bool is_expired =
            item.second.lapsed_at && now - *item.second.lapsed_at >= reregistration_grace;
        if (is_expired) {
            expired.push_back(item.first);
        }
        return is_expired;
    });
    return expired;
}

std::vector<backend_server_id>
backend_list::missing_from(const std::vector<backend_server>& servers) const {
    absl::flat_hash_set<backend_server_id> present;
    for (const backend_server& server : servers) {
        present.insert(server.id);
    }
    std::vector<backend_server_id> missing;
    for (const auto& [id, item] : entries_) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    return missing;
}

const backend_list::entry* backend_list::find(const backend_server_id& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const backend_server*> backend_list::usable(const service_id& service) const {
    std::vector<const backend_server*> present;
    std::vector<const backend_server*> lapsed;
    for (const auto& [id, item] : entries_) {
        if (item.server.service == service && !item.server.leaving) {
            (item.lapsed_at ? lapsed : present).push_back(&item.server);
        }
    }
    return present.empty() ? lapsed : present;
}

} // namespace jujubetide
