#pragma once

#include "ctl/ctl_environment.h"

#include <absl/status/status.h>

namespace jujubetide {

/// The commands of jujubectl. Each parses its arguments, prints its answer and returns how it went;
/// `exit_code_of` gives the exit code. Wrong arguments throw TCLAP's exceptions.

absl::Status run_check(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_plan(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_apply(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_get(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_history(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_audit(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_status(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_explain(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_move_plan(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_move_start(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_move_status(const ctl_arguments& arguments, ctl_environment& environment);
absl::Status run_move_take_back(const ctl_arguments& arguments, ctl_environment& environment);

} // namespace jujubetide
