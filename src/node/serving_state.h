#pragma once

#include "node/serving_metrics.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/http1/http1_client.h"
#include "jujubetide/limits/retry_budget.h"
#include "jujubetide/node/call_codec.h"
#include "jujubetide/node/node_settings.h"
#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/demand_meter.h"
#include "jujubetide/serving/engine_placement.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/serving_config.h"
#include "jujubetide/serving/usage_cap.h"
#include "jujubetide/serving/usage_ledger.h"

#include <absl/container/flat_hash_set.h>

#include <memory>

namespace jujubetide {

class proxied_call;

/// What a node's parts share; all on the event loop's thread.
struct serving_state {
    serving_state(const node_settings& of, event_loop& on, timer_service& timed_by,
                  const clock& time_source, log_sink& to, random_source& chance,
                  const call_codec& translation)
        : settings(of), loop(on), timers(timed_by), time(time_source), log(to), random(chance),
          codec(translation), client(on, time_source), usage(of.usage_window) {}

    /// Whether callers should come to this node.
    [[nodiscard]] bool is_ready() const { return config != nullptr && !stopping; }

    node_settings settings;
    event_loop& loop;
    /// The loop's, but in tests.
    timer_service& timers;
    const clock& time;
    log_sink& log;
    random_source& random;
    const call_codec& codec;
    http1_client client;

    /// Null until the first configuration is known.
    serving_config_ptr config;
    backend_list backends;
    load_tracker loads;
    server_health health;
    prefix_cache_tracker prompts;
    engine_placement engines{loads, health, prompts};
    least_running_placement plain{loads, health};
    usage_cap caps{random};
    usage_ledger usage;
    demand_meter demand;
    retry_budget retries;
    serving_metrics metrics;
    /// Nodes that share the limits, this one included.
    std::size_t nodes = 1;
    bool stopping = false;
    /// Calls that have no final answer yet; the set keeps them.
    absl::flat_hash_set<std::shared_ptr<proxied_call>> calls;
};

} // namespace jujubetide
