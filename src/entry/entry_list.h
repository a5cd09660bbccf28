#pragma once

#include "entry/entry_parts.h"

#include "jujubetide/base/endpoint.h"
#include "jujubetide/blackboard/member_board.h"

#include <string>
#include <vector>

namespace jujubetide {

/// The entry nodes that a caller should use, best first: those of the own failure domain, then the
/// others, each group in an order that differs between callers. Nodes that leave or are dead are
/// left out.
std::vector<member> entries_for(const member_board& members, const entry_identity& self,
                                const std::string& caller_address);

/// Entry nodes that can take a request over: alive, not leaving, not this one; those of other
/// failure domains first.
std::vector<member> hand_over_targets(const member_board& members, const entry_identity& self,
                                      const request_id& request);

} // namespace jujubetide
