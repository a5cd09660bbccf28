#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// A node at which a revision is not yet in force, as far as is known.
struct node_behind {
    node_id node;
    revision settings;
    member_health health = member_health::alive;
};

/// Where a revision is in force, over the nodes that are not known to be dead.
struct revision_report {
    revision at;
    std::size_t in_force = 0;
    std::size_t nodes = 0;
    std::vector<node_behind> behind;
};

struct backend_report {
    backend_server_id id;
    version_id version;
    endpoint address;
    failure_domain_id failure_domain;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t consecutive_failures = 0;
};

struct service_report {
    team_id team;
    service_id id;
    version_id version;
    std::optional<version_move> move;
    std::vector<backend_report> backends;
};

revision_report report_revision(const member_board& members, revision at);
/// The services that the operator may see, by id.
std::vector<service_report> report_services(const blackboard& boards,
                                            const operator_settings& reader);

} // namespace jujubetide
