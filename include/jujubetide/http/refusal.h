#pragma once

#include "jujubetide/base/units.h"

#include <optional>
#include <string>

namespace jujubetide {

/// A server's statement that it did not run a call.
struct not_run_refusal {
    /// When to come back; zero for none.
    millis retry_after{0};
};

/// The statement in an answer: status 503 and a problem with the outcome `not_run`.
std::optional<not_run_refusal> read_refusal(int status, const std::string& body);

} // namespace jujubetide
