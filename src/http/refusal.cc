#include "jujubetide/http/refusal.h"

#include <nlohmann/json.hpp>

namespace jujubetide {

std::optional<not_run_refusal> read_refusal(int status, const std::string& body) {
    constexpr int service_unavailable = 503;
    if (status != service_unavailable) {
        return std::nullopt;
    }
    const auto problem = nlohmann::json::parse(body, nullptr, false);
    if (!problem.is_object() || !problem.contains("outcome") || problem["outcome"] != "not_run") {
        return std::nullopt;
    }
    const auto wait = problem.find("retry_after_ms");
    const bool waits = wait != problem.end() && wait->is_number_unsigned();
    return not_run_refusal{millis{waits ? wait->get<std::int64_t>() : 0}};
}

} // namespace jujubetide
