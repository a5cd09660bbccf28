#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"

#include <cstddef>
#include <vector>

namespace jujubetide {

/// A node that the directory may list for callers.
struct directory_entry {
    endpoint caller_address;
    /// Capacity of the node's host, in cores.
    double cores = 1.0;
};

/// Selects at most `max` entries for the callers of one failure domain: the largest hosts first,
/// and among equal ones a different subset per domain, so that no host is left out of all of them.
/// The selection is stable, so that callers can keep connections. Designed for more hosts than
/// callers accept addresses, of which some carry several times the load of others.
std::vector<endpoint> select_for_directory(std::vector<directory_entry> entries,
                                           const failure_domain_id& caller_domain, std::size_t max);

} // namespace jujubetide
