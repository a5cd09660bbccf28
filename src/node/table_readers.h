#pragma once

#include "jujubetide/base/ids.h"

#include <span>

namespace jujubetide {

/// A node that could follow the store's tables.
struct table_reader_candidate {
    node_id node;
    /// Capacity of its host.
    double cores = 1.0;
    bool reaches_store = true;
};

/// Whether `self` is one of the few nodes that follow the store's tables and pass changes on to all
/// others: the largest hosts that the store answers, the same by the view of each node. The load
/// that it answers: each call to the store is paid for, and without this every row that changes
/// would be told to each node by a call of its own.
bool is_among_readers(const table_reader_candidate& self,
                      std::span<const table_reader_candidate> others);

} // namespace jujubetide
