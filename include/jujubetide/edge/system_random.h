#pragma once

#include "jujubetide/base/random_source.h"

#include <string>

namespace jujubetide {

/// A random source seeded by the operating system; for ids and jitter of real processes.
seeded_random system_seeded_random();
/// 32 random hex digits.
std::string random_hex_id();

} // namespace jujubetide
