#include "jujubetide/serving/backend_list.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace jujubetide {

void backend_list::put(const backend_server& server) {
    notices_.on_registered(server.id, server.started_at_ms);
    const auto found = entries_.find(server.id);
    if (found != entries_.end() && !server.leaving && found->second.server != server) {
        notices_.on_registered_anew(server.id);
    }
    entries_[server.id] = {server, notices_.is_leaving(server.id), std::nullopt, false};
}

void backend_list::remove(const backend_server_id& id, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    // A server that announced its stop will not register again.
    if (found->second.is_leaving()) {
        entries_.erase(found);
    } else if (!found->second.lapsed_at) {
        found->second.lapsed_at = now;
    }
}

void backend_list::lose(const backend_server_id& id, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.lapsed_at) {
        return;
    }
    remove(id, now);
    if (const auto kept = entries_.find(id); kept != entries_.end()) {
        kept->second.is_lost = true;
    }
}

void backend_list::postpone_lost(time_point now) {
    for (auto& [id, item] : entries_) {
        if (item.is_lost) {
            item.lapsed_at = now;
        }
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
    for (const auto& [id, item] : entries_) {
        notices_.on_listed(id, now);
    }
    for (const backend_server_id& id : notices_.expire(now)) {
        update_notice(id);
    }
    return expired;
}

bool backend_list::on_leaving_answer(const backend_server& server, time_point now) {
    if (has_later_run(server.id, server.started_at_ms)) {
        return false;
    }
    const bool is_new = notices_.on_answer(server.id, server.started_at_ms, now);
    update_notice(server.id);
    return is_new;
}

std::vector<backend_server_id>
backend_list::on_peer_leaving_reports(std::vector<leaving_report> reports, time_point now) {
    std::erase_if(reports, [this](const leaving_report& report) {
        return has_later_run(report.server, report.started_at_ms);
    });
    std::vector<backend_server_id> added = notices_.on_peer_reports(reports, now);
    for (const backend_server_id& id : added) {
        update_notice(id);
    }
    return added;
}

bool backend_list::has_later_run(const backend_server_id& id, std::int64_t started_at_ms) const {
    const entry* const listed = find(id);
    return listed != nullptr && listed->server.started_at_ms > started_at_ms;
}

void backend_list::update_notice(const backend_server_id& id) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.has_leaving_notice = notices_.is_leaving(id);
    }
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
        if (item.server.service == service && may_get_calls(item)) {
            (item.lapsed_at ? lapsed : present).push_back(&item.server);
        }
    }
    return present.empty() ? lapsed : present;
}

bool backend_list::is_evacuated(const service_id& service) const {
    return usable(service).empty() &&
           std::any_of(entries_.begin(), entries_.end(), [&service](const auto& item) {
               return item.second.server.service == service && !item.second.is_leaving();
           });
}

} // namespace jujubetide
