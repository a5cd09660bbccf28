#pragma once

#include <absl/status/status.h>

namespace jujubetide {

/// Exit codes of jujubectl; scripts rely on them.
enum class exit_code {
    ok = 0,
    failed = 1,
    bad_input = 2,
    conflict = 3,
    refused = 4,
    /// No answer from a control process, or none from its table; an apply may have been accepted.
    unreachable = 5,
};

exit_code exit_code_of(const absl::Status& status);

} // namespace jujubetide
