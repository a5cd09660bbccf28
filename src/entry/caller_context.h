#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/http/problem.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <optional>
#include <string>
#include <variant>

namespace httplib {
struct Request;  // NOLINT(readability-identifier-naming)
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// What the headers of a call say, checked against the settings that the request keeps.
struct caller_context {
    /// The node's own id for the request; unique, whatever callers send.
    request_id request;
    /// The caller's `X-Request-Id`, or the node's.
    std::string caller_request_id;
    idempotency_key key;
    snapshot_ptr settings;
    const customer_settings* customer = nullptr;
    time_point arrived{};
    /// The caller's deadline, where it sent one.
    std::optional<millis> time_allowed;

    [[nodiscard]] time_point deadline_for(const service_settings& service) const {
        return arrived + time_allowed.value_or(service.default_deadline);
    }
};

/// Longest `X-Request-Id` and `Idempotency-Key`, in bytes.
inline constexpr std::size_t max_header_id_bytes = 255;

/// Reads the headers; the alternative is the refusal.
std::variant<caller_context, problem> read_caller(const httplib::Request& request,
                                                  snapshot_ptr settings, time_point now);
/// The refusal where the customer may not call the service; nothing where it may.
std::optional<problem> check_permission(const caller_context& caller,
                                        const service_settings& service);
/// Echoes the request's id.
void set_request_id(httplib::Response& response, const std::string& caller_request_id);

} // namespace jujubetide
