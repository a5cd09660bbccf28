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
    // A server that said that it leaves is gone for good.
    if (found->second.server.leaving) {
        entries_.erase(found);
    } else if (!found->second.lapsed_at) {
        found->second.lapsed_at = now;
    }
}

std::vector<backend_server_id> backend_list::expire(time_point now) {
    std::vector<backend_server_id> expired;
    std::erase_if(entries_, [&expired, now](const auto& item) {
        const bool over =
            item.second.lapsed_at && now - *item.second.lapsed_at >= reregistration_grace;
        if (over) {
            expired.push_back(item.first);
        }
        return over;
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
    for (const auto& [id, one] : entries_) {
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
    std::vector<const backend_server*> vanished;
    for (const auto& [id, one] : entries_) {
        if (one.server.service == service && !one.server.leaving) {
            (one.lapsed_at ? vanished : present).push_back(&one.server);
        }
    }
    return present.empty() ? vanished : present;
}

} // namespace jujubetide
