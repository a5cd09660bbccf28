#pragma once

#include "jujubetide/base/log.h"
#include "jujubetide/base/timer_service.h"
#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/platform/cloud.h"
#include "jujubetide/platform/host_list.h"

#include <mutex>
#include <set>
#include <string>

namespace jujubetide {

/// How often the sources of leaving hosts are read.
struct leaving_periods {
    millis notices{500};
    millis host_list{10'000};
};

/// Publishes the hosts that the cloud takes back or the platform lists as leaving, each once.
/// Reclaim notices are read often; the list of hosts lags and only finds what notices missed.
/// Reads run on a thread of the watcher's own, one at a time for each source; a source that does
/// not answer changes nothing.
class leaving_watcher {
public:
    /// All must outlive the watcher.
    leaving_watcher(cloud& platform_cloud, host_list& hosts, fact_publisher& facts,
                    timer_service& timers, log_sink& log, const leaving_periods& periods = {});

private:
    struct source {
        std::string name;
        bool lost = false;
        /// The hosts that the source named at its last reading.
        std::set<host_id> named;
    };

    void read_notices();
    void read_host_list();
    /// Publishes the hosts that no source named before.
    void take(source& from, const absl::StatusOr<std::set<host_id>>& named);
    void log_state(source& from, const absl::Status& status);

    cloud& cloud_;
    host_list& hosts_;
    fact_publisher& facts_;
    log_sink& log_;
    std::mutex mutex_;
    source notices_{"reclaim_notices", false, {}};
    source listed_{"host_list", false, {}};
    periodic_task notice_task_;
    periodic_task list_task_;
};

} // namespace jujubetide
