// Each source has a thread of its own, so that a hanging list of hosts does not delay the notices,
// which leave only seconds.
#include "jujubetide/platform/leaving_watcher.h"

#include "platform/platform_events.h"

#include <utility>

namespace jujubetide {

leaving_watcher::leaving_watcher(cloud& platform_cloud, host_list& hosts, fact_publisher& facts,
                                 timer_service& timers, log_sink& log,
                                 const leaving_periods& periods)
    : cloud_(platform_cloud), hosts_(hosts), facts_(facts), log_(log),
      notice_task_(timers, periods.notices, [this] { read_notices(); }),
      list_task_(timers, periods.host_list, [this] { read_host_list(); }) {}

void leaving_watcher::read_notices() {
    const auto notices = cloud_.reclaim_notices();
    if (!notices.ok()) {
        take(notices_, notices.status());
        return;
    }
    std::set<host_id> named;
    for (const reclaim_notice& notice : *notices) {
        named.insert(notice.host);
    }
    take(notices_, std::move(named));
}

void leaving_watcher::read_host_list() {
    const auto hosts = hosts_.list();
    if (!hosts.ok()) {
        take(listed_, hosts.status());
        return;
    }
    std::set<host_id> named;
    for (const listed_host& host : *hosts) {
        if (host.leaving) {
            named.insert(host.host);
        }
    }
    take(listed_, std::move(named));
}

void leaving_watcher::take(source& from, const absl::StatusOr<std::set<host_id>>& named) {
    const std::lock_guard lock(mutex_);
    log_state(from, named.status());
    if (!named.ok()) {
        return;
    }
    for (const host_id& host : *named) {
        if (!notices_.named.contains(host) && !listed_.named.contains(host)) {
            log_.write(platform_events::host_leaving,
                       {{"host", host.str()}, {"source", from.name}});
            facts_.leaving_host(host);
        }
    }
    from.named = *named;
}

void leaving_watcher::log_state(source& from, const absl::Status& status) {
    if (from.lost == !status.ok()) {
        return;
    }
    from.lost = !status.ok();
    if (from.lost) {
        log_.write(platform_events::leaving_source_lost,
                   {{"source", from.name}, {"error", std::string(status.message())}});
    } else {
        log_.write(platform_events::leaving_source_back, {{"source", from.name}});
    }
}

} // namespace jujubetide
