#pragma once

#include "ctl/ctl_environment.h"
#include "ctl/exit_code.h"

namespace jujubetide {

/// Runs `jujubectl` with its arguments, without the program's name.
exit_code run_ctl(const ctl_arguments& arguments, ctl_environment& environment);

} // namespace jujubetide
