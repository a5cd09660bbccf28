#pragma once

#include <string>
#include <string_view>

namespace jujubetide {

/// The version of the programs.
std::string_view program_version();
/// A hash of the sources that the programs were built from; cmake/source_identity.cmake computes
/// it.
std::string_view source_identity();
/// Both, as programs print them for `--version`.
std::string version_text();

} // namespace jujubetide
