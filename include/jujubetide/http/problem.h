#pragma once

#include "jujubetide/base/units.h"

#include <string>
#include <string_view>
#include <vector>

namespace httplib {
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// Whether a refused request may have run.
enum class run_outcome { not_run, unknown };

std::string_view to_string(run_outcome outcome);

/// An error answer by RFC 9457.
struct problem {
    int status = 500;
    /// Stable word for programs, such as `unknown_service`.
    std::string code;
    std::string detail;
    run_outcome outcome = run_outcome::not_run;
    /// When to come back; zero leaves `Retry-After` out.
    millis retry_after{0};
    /// Other addresses to try, as `ADDRESS:PORT`.
    std::vector<std::string> other_entries;
};

std::string to_json(const problem& error);
/// Fills the response with the problem, its status and `Retry-After` in whole seconds, rounded up.
void set_problem(httplib::Response& response, const problem& error);

} // namespace jujubetide
