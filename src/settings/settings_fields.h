#pragma once

#include <set>
#include <string>

namespace jujubetide {

/// The names of all fields that the parser reads, by the kind of document: `service`,
/// `model route`, `plain route`, `customer`, `backend`, `operator`, `process`.
std::set<std::string> fields_of(const std::string& kind);

} // namespace jujubetide
