#pragma once

#include "node/crash_watch.h"
#include "node/server_links.h"
#include "node/serving_metrics.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/http1/http1_client.h"
#include "jujubetide/limits/retry_budget.h"
#include "jujubetide/node/call_codec.h"
#include "jujubetide/node/node_settings.h"
#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/brittle_servers.h"
#include "jujubetide/serving/call_admission.h"
#include "jujubetide/serving/cold_servers.h"
#include "jujubetide/serving/demand_meter.h"
#include "jujubetide/serving/engine_placement.h"
#include "jujubetide/serving/hedge_policy.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/server_limits.h"
#include "jujubetide/serving/serving_config.h"
#include "jujubetide/serving/usage_cap.h"
#include "jujubetide/serving/usage_ledger.h"
#include "jujubetide/serving/version_trials.h"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>

namespace jujubetide {

class proxied_call;

/// State shared by the components of a node; used on the event loop's thread only.
struct serving_state {
    serving_state(const node_settings& node_options, event_loop& node_loop,
                  timer_service& timer_source, const clock& time_source, log_sink& log_target,
                  random_source& random_numbers, const call_codec& header_codec)
        : settings(node_options), loop(node_loop), timers(timer_source), time(time_source),
          log(log_target), random(random_numbers), codec(header_codec),
          client(node_loop, time_source), usage(node_options.usage_window) {}

    /// Whether the node accepts calls.
    [[nodiscard]] bool is_ready() const { return config != nullptr && !stopping; }

    node_settings settings;
    event_loop& loop;
    /// The event loop's timers, except in tests.
    timer_service& timers;
    const clock& time;
    log_sink& log;
    random_source& random;
    const call_codec& codec;
    http1_client client;

    /// Null until the first configuration is in force.
    serving_config_ptr config;
    backend_list backends;
    load_tracker loads;
    server_limits limits;
    cold_servers cold{settings.cold_tolerance, limits};
    brittle_servers brittle{random};
    server_health health;
    /// Half of what the operators allow, so that repeats and restarts of nodes stay within it too.
    version_trials trials{settings.canary_share / 2.0};
    server_links links{*this};
    crash_watch crashes{*this};
    prefix_cache_tracker prompts;
    engine_placement engines{loads, health, prompts};
    least_running_placement plain{loads, health};
    call_admission admission{random};
    usage_cap caps{random, settings.cap_tolerance};
    usage_ledger usage;
    demand_meter demand;
    retry_budget retries;
    hedge_policy hedges{settings.hedge_share};
    serving_metrics metrics;
    /// Number of nodes that share the limits, including this one.
    std::size_t nodes = 1;
    /// Work for each service's servers that peers have sent since their last heartbeats, by the
    /// rates that they report.
    std::map<service_id, micros> unreported_work;
    bool stopping = false;
    /// The store does not answer this node.
    bool is_store_away = false;
    /// The stop began too long ago to complete further calls.
    bool refuses_calls = false;
    /// Calls without a final response yet; the set owns them.
    absl::flat_hash_set<std::shared_ptr<proxied_call>> running_calls;
};

} // namespace jujubetide
