#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

namespace jujubetide {

struct admission_query {
    request_id request;
    service_id service;
    customer_id customer;
    /// Weight of the customer's share, from its settings.
    double share = 1.0;
    token_count prompt_tokens;
    /// The router's estimate for the server it would choose.
    micros estimated_first_piece{0};
    /// The service's target for the first piece.
    micros first_piece_target{0};
    time_point now{};
    time_point deadline{};
};

enum class refusal_reason {
    none,
    /// The answer could not begin before the deadline.
    too_late,
    /// The customer is over its share while others want the room.
    over_share,
    /// No backend server can take the request.
    no_server,
    /// The node takes no new work.
    draining,
};

struct admission_decision {
    refusal_reason reason = refusal_reason::none;
    /// When a call would be served; meaningful for refusals.
    millis retry_after{0};

    [[nodiscard]] bool admitted() const { return reason == refusal_reason::none; }
};

/// Decides whether a request is accepted. Thread-safe.
class admission {
public:
    virtual ~admission() = default;
    /// An admitted request counts against its customer until `on_finished`.
    [[nodiscard]] admission_decision decide(const admission_query& query) {
        return do_decide(query);
    }
    void on_finished(const admission_query& query, time_point now) { do_on_finished(query, now); }

protected:
    admission() = default;
    admission(const admission&) = default;
    admission& operator=(const admission&) = default;
    virtual admission_decision do_decide(const admission_query& query) = 0;
    virtual void do_on_finished(const admission_query& query, time_point now) = 0;
};

} // namespace jujubetide
