#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/backend/plain_client.h"
#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/base/timer_service.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/limits/admission.h"
#include "jujubetide/limits/retry_budget.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/moves/version_selector.h"
#include "jujubetide/peer/peer_link.h"
#include "jujubetide/platform/table.h"
#include "jujubetide/routing/router.h"

namespace jujubetide {

/// Who an entry node is.
struct entry_identity {
    node_id node;
    failure_domain_id failure_domain;
    endpoint public_address;
};

/// What an entry server works with; everything outlives it.
struct entry_parts {
    clock& time;
    timer_service& timers;
    log_sink& log;
    blackboard& boards;
    router& routes;
    admission& limits;
    retry_budget& retries;
    version_selector& versions;
    engine_client& engines;
    plain_client& plain;
    table& platform_table;
    fact_publisher& facts;
    peer_link& peers;
};

} // namespace jujubetide
