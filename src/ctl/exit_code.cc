#include "ctl/exit_code.h"

namespace jujubetide {

exit_code exit_code_of(const absl::Status& status) {
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return exit_code::ok;
    case absl::StatusCode::kInvalidArgument:
        return exit_code::bad_input;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kFailedPrecondition:
        return exit_code::conflict;
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kUnauthenticated:
        return exit_code::refused;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
        return exit_code::unreachable;
    default:
        return exit_code::failed;
    }
}

} // namespace jujubetide
