#include "entry/caller_context.h"

#include "entry/refusals.h"

#include "jujubetide/edge/system_random.h"
#include "jujubetide/settings/sha256.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace jujubetide {
namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::int64_t max_deadline_ms = 86'400'000;

bool is_header_id(const std::string& text) {
    return text.size() <= max_header_id_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<problem> read_deadline(const httplib::Request& request, caller_context& caller) {
    if (!request.has_header("X-Deadline-Ms")) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(request.get_header_value("X-Deadline-Ms"), &value) || value <= 0 ||
        value > max_deadline_ms) {
        return make_problem(400, "bad_deadline",
                            absl::StrCat("X-Deadline-Ms must be 1 to ", max_deadline_ms));
    }
    caller.time_allowed = millis(value);
    return std::nullopt;
}

std::optional<problem> read_ids(const httplib::Request& request, caller_context& caller) {
    caller.request = request_id(random_hex_id());
    caller.caller_request_id = request.get_header_value("X-Request-Id");
    if (caller.caller_request_id.empty()) {
        caller.caller_request_id = caller.request.str();
    }
    caller.key = idempotency_key(request.get_header_value("Idempotency-Key"));
    if (!is_header_id(caller.caller_request_id) || !is_header_id(caller.key.str())) {
        return make_problem(400, "bad_header",
                            "X-Request-Id and Idempotency-Key must be printable, without spaces");
    }
    return std::nullopt;
}

} // namespace

std::variant<caller_context, problem> read_caller(const httplib::Request& request,
                                                  snapshot_ptr settings, time_point now) {
    caller_context caller;
    caller.arrived = now;
    caller.settings = std::move(settings);
    if (auto error = read_ids(request, caller)) {
        return *std::move(error);
    }
    const std::string authorization = request.get_header_value("Authorization");
    if (authorization.starts_with(bearer_prefix)) {
        caller.customer =
            caller.settings->find_customer(sha256_hex(authorization.substr(bearer_prefix.size())));
    }
    if (caller.customer == nullptr) {
        return make_problem(401, "unknown_customer", "Authorization names no known customer");
    }
    if (auto error = read_deadline(request, caller)) {
        return *std::move(error);
    }
    return caller;
}

std::optional<problem> check_permission(const caller_context& caller,
                                        const service_settings& service) {
    const auto& allowed = caller.customer->services;
    if (std::find(allowed.begin(), allowed.end(), service.id) != allowed.end()) {
        return std::nullopt;
    }
    return make_problem(403, "service_not_allowed", "the customer may not call this service");
}

void set_request_id(httplib::Response& response, const std::string& caller_request_id) {
    response.set_header("X-Request-Id", caller_request_id);
}

} // namespace jujubetide
