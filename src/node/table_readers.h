#pragma once

#include "jujubetide/base/ids.h"

#include <span>

namespace jujubetide {

/// A node that may be selected to follow the store's tables.
struct table_reader_candidate {
    node_id node;
    /// Capacity of its host.
    double cores = 1.0;
    bool reaches_store = true;
};

/// Whether `self` is one of the table readers, the few nodes that follow the store's tables and
/// pass changes on to all others. The nodes on the largest hosts that the store answers are
/// selected; all nodes with the same view select the same ones. Readers limit the cost: each call
/// to the store is paid for, and without readers each changed row would take one call per node.
bool is_among_readers(const table_reader_candidate& self,
                      std::span<const table_reader_candidate> others);

} // namespace jujubetide
