#include "node/caller_request_handler.h"

#include "node/eviction_record.h"
#include "node/node_events.h"
#include "node/proxied_call.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <utility>

namespace jujubetide {
namespace {

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
/// Retry delay for callers of a node that has no configuration yet.
constexpr micros no_config_retry{500'000};
/// Retry delay for callers of a node that stops: another node may take the call at once.
constexpr micros stopping_retry{50'000};
/// Retry delay for callers whose request the node has no memory for.
constexpr micros memory_retry{500'000};

std::string json_error_body(std::string_view cause) {
    return absl::StrCat(R"({"error":")", absl::string_view(cause.data(), cause.size()), R"("})");
}

double usage_charge(const serving_customer& customer, const call_fields& fields) {
    if (!customer.cap_in_tokens || !fields.has_token_counts) {
        return customer.plain_usage;
    }
    return static_cast<double>(fields.prompt_tokens + fields.max_output_tokens);
}

} // namespace

std::shared_ptr<exchange_events>
caller_request_handler::do_request(request_head head, std::string body, time_point began,
                                   std::shared_ptr<http1_exchange> exchange) {
    absl::StatusOr<call_fields> fields = state_.codec.read_call(head);
    if (!fields.ok()) {
        refuse(*exchange, "", bad_request, std::string(fields.status().message()), {});
        return nullptr;
    }
    if (!state_.config) {
        refuse(*exchange, fields->attempt_id, service_unavailable, "no_config", no_config_retry);
        return nullptr;
    }
    if (state_.refuses_calls) {
        refuse(*exchange, fields->attempt_id, service_unavailable, "stopping", stopping_retry);
        return nullptr;
    }
    const serving_route* route = state_.config->find_route(fields->host, head.target);
    if (route == nullptr) {
        refuse(*exchange, fields->attempt_id, not_found, "no_route", {});
        return nullptr;
    }
    const serving_customer* customer = state_.config->find_customer_by_key(fields->api_key);
    if (customer == nullptr && !route->is_public && !state_.config->customers().empty()) {
        refuse(*exchange, fields->attempt_id, unauthorized, "unknown_key", {});
        return nullptr;
    }
    double charged = 0.0;
    if (customer != nullptr) {
        charged = usage_charge(*customer, *fields);
        const auto admission = state_.caps.admit(*customer, charged, state_.time.now());
        if (!admission.admitted) {
            state_.log.write(cap_reached, {{"id", fields->attempt_id},
                                           {"customer", customer->id.str()},
                                           {"asked", absl::StrCat(std::llround(charged))},
                                           {"held", absl::StrCat(std::llround(admission.level))},
                                           {"retry_after_ms",
                                            absl::StrCat(to_millis(admission.retry_after).count())},
                                           {"nodes", absl::StrCat(state_.nodes)}});
            refuse(*exchange, fields->attempt_id, too_many_requests, "usage_cap",
                   admission.retry_after);
            return nullptr;
        }
    }
    auto call = std::make_shared<proxied_call>(
        state_, state_.config, *route, customer,
        proxied_call::request{std::move(head), std::move(body), *std::move(fields), began,
                              std::move(exchange), charged});
    call->begin();
    return call;
}

void caller_request_handler::refuse(http1_exchange& exchange, const std::string& attempt,
                                    int status, std::string_view cause,
                                    std::optional<micros> retry_after) {
    state_.metrics.on_call({}, call_refused.name, cause, micros{0});
    state_.log.write(call_refused,
                     {{"id", attempt},
                      {"status", std::to_string(status)},
                      {"cause", std::string(cause)},
                      {"config", state_.config ? std::to_string(state_.config->version()) : "-"}});
    exchange.respond(status, state_.codec.local_response_headers(attempt, retry_after),
                     json_error_body(cause));
}

std::string caller_request_handler::do_error_body(int status) const {
    const bool is_short_of_memory = status == service_unavailable;
    const char* cause = is_short_of_memory ? "node_memory" : "bad_message";
    state_.metrics.on_call({}, call_refused.name, cause, micros{0});
    state_.log.write(
        call_refused,
        {{"id", "-"}, {"status", std::to_string(status)}, {"cause", cause}, {"config", "-"}});
    return json_error_body(is_short_of_memory ? cause : reason_phrase(status));
}

header_list caller_request_handler::do_error_headers(int status, const request_head& head) const {
    const absl::StatusOr<call_fields> fields = state_.codec.read_call(head);
    const bool may_return = status == service_unavailable;
    return state_.codec.local_response_headers(fields.ok() ? fields->attempt_id : "",
                                               may_return ? std::optional<micros>(memory_retry)
                                                          : std::nullopt);
}

void caller_request_handler::do_eviction(eviction_cause cause) {
    record_eviction(state_, "callers", cause);
}

} // namespace jujubetide
