#include "jujubetide/peer/node_process.h"

#include "jujubetide/edge/shared_memory_budget.h"
#include "jujubetide/edge/system_random.h"

namespace jujubetide {

node_process::node_process(const std::string& program, const process_settings& settings)
    : log(program), random(system_seeded_random()), peer_random(system_seeded_random()) {
    // The rest is for what the process makes of the bodies.
    shared_memory_budget::of_process().set_limit((settings.memory_mb << 20U) / 2);
}

absl::StatusOr<std::unique_ptr<peer_node>> node_process::make_node(const process_settings& settings,
                                                                   node_role role,
                                                                   const endpoint& public_address,
                                                                   peer_link& link) {
    return peer_node::make(settings, role, public_address, boards, link, timers, time, peer_random,
                           builder, log);
}

} // namespace jujubetide
