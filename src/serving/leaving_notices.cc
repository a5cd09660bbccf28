#include "jujubetide/serving/leaving_notices.h"

#include <algorithm>

namespace jujubetide {

bool leaving_notices::on_answer(const backend_server_id& server, std::int64_t started_at_ms,
                                time_point now) {
    const auto [known, is_new] = notices_.try_emplace(server);
    notice& of = known->second;
    if (started_at_ms < of.started_at_ms) {
        return false; // An answer of an earlier run that comes late.
    }
    const bool was_own = of.is_own && of.started_at_ms == started_at_ms;
    of = {started_at_ms, true, now, is_new ? now : of.last_listed};
    return !was_own;
}

std::vector<backend_server_id>
leaving_notices::on_peer_reports(const std::vector<leaving_report>& reports, time_point now) {
    std::vector<backend_server_id> added;
    for (const leaving_report& report : reports) {
        const time_point answered_at = now - report.age;
        if (report.age >= peer_lifetime) {
            continue;
        }
        const auto [known, is_new] = notices_.try_emplace(report.server);
        notice& of = known->second;
        if (is_new || of.started_at_ms < report.started_at_ms) {
            of = {report.started_at_ms, false, answered_at, now};
            added.push_back(report.server);
        } else if (!of.is_own && of.started_at_ms == report.started_at_ms) {
            of.answered_at = std::max(of.answered_at, answered_at);
        }
    }
    return added;
}

void leaving_notices::on_registered(const backend_server_id& server, std::int64_t started_at_ms) {
    const auto found = notices_.find(server);
    if (found != notices_.end() && started_at_ms > found->second.started_at_ms) {
        notices_.erase(found);
    }
}

void leaving_notices::on_listed(const backend_server_id& server, time_point now) {
    const auto found = notices_.find(server);
    if (found != notices_.end()) {
        found->second.last_listed = now;
    }
}

void leaving_notices::on_registered_anew(const backend_server_id& server) {
    const auto found = notices_.find(server);
    if (found != notices_.end() && !found->second.is_own) {
        notices_.erase(found);
    }
}

std::vector<backend_server_id> leaving_notices::expire(time_point now) {
    std::vector<backend_server_id> ended;
    std::erase_if(notices_, [&ended, now](const auto& item) {
        const notice& of = item.second;
        if (of.is_own) {
            return now - std::max(of.answered_at, of.last_listed) >= lifetime;
        }
        const bool has_ended = now - of.answered_at >= peer_lifetime;
        if (has_ended) {
            ended.push_back(item.first);
        }
        return has_ended;
    });
    return ended;
}

bool leaving_notices::is_leaving(const backend_server_id& server) const {
    return notices_.contains(server);
}

std::vector<leaving_report> leaving_notices::reports(time_point now) const {
    std::vector<leaving_report> list;
    for (const auto& [server, of] : notices_) {
        if (of.is_own && now - of.answered_at < report_time) {
            list.push_back({server, of.started_at_ms, now - of.answered_at});
        }
    }
    return list;
}

} // namespace jujubetide
