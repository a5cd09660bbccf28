#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"

#include <cstddef>
#include <vector>

namespace jujubetide {

/// A node that callers may be sent to.
struct directory_entry {
    endpoint caller_address;
    /// Capacity of its host, in cores.
    double cores = 1.0;
};

/// Chooses at most `max` of the entries for callers of one failure domain: the larger hosts first,
/// and among equal ones others for each domain, so that none is left out everywhere. The choice is
/// stable, so that callers may keep their connections. The load that it answers: more hosts than
/// callers take addresses, of which some carry several times the load of others.
std::vector<endpoint> select_for_directory(std::vector<directory_entry> entries,
                                           const failure_domain_id& caller_domain, std::size_t max);

} // namespace jujubetide
