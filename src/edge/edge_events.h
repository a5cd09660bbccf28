#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

inline constexpr log_event log_lines_dropped{1000, log_severity::warning, "log_lines_dropped"};

} // namespace jujubetide
