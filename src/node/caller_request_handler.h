#pragma once

#include "node/serving_state.h"

#include "jujubetide/http1/http1_server.h"

namespace jujubetide {

/// Handles callers' requests: finds the route and the customer, enforces the usage cap, and starts
/// a `proxied_call`.
class caller_request_handler final : public http1_handler {
public:
    explicit caller_request_handler(serving_state& state) : state_(state) {}

protected:
    std::shared_ptr<exchange_events> do_request(request_head head, std::string body,
                                                time_point began,
                                                std::shared_ptr<http1_exchange> exchange) override;
    [[nodiscard]] std::string do_error_body(int status) const override;
    void do_eviction(eviction_cause cause) override;
    [[nodiscard]] header_list do_error_headers(int status, const request_head& head) const override;

private:
    void refuse(http1_exchange& exchange, const std::string& attempt, int status,
                std::string_view cause, std::optional<micros> retry_after);

    serving_state& state_;
};

} // namespace jujubetide
