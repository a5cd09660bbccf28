#pragma once

#include "jujubetide/blackboard/member_board.h"

#include <vector>

namespace jujubetide {

/// The neighbours of one node among the members given.
///
/// Each node chooses one member of its own failure domain, one of the other failure domains of its
/// region and one of the other regions, by rendezvous hash; a choice that a scope cannot fill is
/// made from all other members. Two nodes are neighbours when either has chosen the other, so that
/// the relation is symmetric and a node has six neighbours on average. Dead and unknown members
/// must be left out by the caller.
///
/// Returns the neighbours ordered by node id. `self` need not be among `members`.
std::vector<member> choose_neighbours(const member& self, const std::vector<member>& members);

/// Those of `neighbours` that have chosen `self` among `members`, in the order given.
std::vector<member> choosers_of(const member& self, const std::vector<member>& neighbours,
                                const std::vector<member>& members);

} // namespace jujubetide
