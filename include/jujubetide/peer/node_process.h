#pragma once

#include "jujubetide/base/random_source.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/edge/process_log.h"
#include "jujubetide/edge/thread_timer_service.h"
#include "jujubetide/membership/parsing_snapshot_builder.h"
#include "jujubetide/peer/peer_node.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace jujubetide {

/// What every node's process has, in the order in which the parts depend on each other.
struct node_process {
    /// `program` names the process in its log.
    node_process(const std::string& program, const process_settings& settings);

    /// This process's membership; what is passed in must outlive it, as must this. Errors as for
    /// `peer_node::make`.
    absl::StatusOr<std::unique_ptr<peer_node>> make_node(const process_settings& settings,
                                                         node_role role,
                                                         const endpoint& public_address,
                                                         peer_link& link);

    boot_clock time;
    thread_timer_service timers;
    process_log log;
    seeded_random random;
    /// Used by the membership only, which guards it by its own lock.
    seeded_random peer_random;
    blackboard boards;
    parsing_snapshot_builder builder;
};

} // namespace jujubetide
