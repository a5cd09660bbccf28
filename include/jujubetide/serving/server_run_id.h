#pragma once

#include "jujubetide/base/ids.h"

namespace jujubetide {

/// Identifies one run of a backend server's process: a restart is another run.
using server_run_id = strong_id<struct server_run_tag>;

} // namespace jujubetide
