#pragma once

#include "control/move_store.h"
#include "control/traffic_source.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/settings/settings_history.h"
#include "jujubetide/settings/settings_store.h"

#include <string>

namespace jujubetide {

/// What the operators' interface works on; everything outlives it.
struct control_parts {
    clock& time;
    log_sink& log;
    blackboard& boards;
    fact_publisher& facts;
    settings_store& settings;
    settings_history& history;
    move_store& moves;
    traffic_source& traffic;
    /// Hash of the key that may change settings while no operator is declared; empty for none.
    std::string bootstrap_key_sha256;
};

} // namespace jujubetide
