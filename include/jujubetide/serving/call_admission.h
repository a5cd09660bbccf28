#pragma once

#include "jujubetide/serving/customer_shares.h"
#include "jujubetide/serving/return_schedule.h"
#include "jujubetide/serving/wait_allowance.h"

#include <optional>
#include <string_view>

namespace jujubetide {

/// Decides whether a call whose server is chosen is sent or refused, and when a refused caller is
/// to return. Designed for services with less room than their callers ask for: customers are held
/// to their shares first, then the least urgent calls are refused. Not thread-safe.
class call_admission final {
public:
    /// `random` must outlive this object.
    explicit call_admission(random_source& random) : shares_(random), returns_(random) {}

    struct query {
        wait_allowance::query wait;
        /// Empty for callers without a key.
        customer_id customer;
        double cap_per_second = 0.0;
        /// Usage that the customer's cap counts.
        double usage = 0.0;
    };

    /// Why a call is better refused than sent.
    struct refusal {
        /// Static text, for log lines and metrics.
        std::string_view cause;
        micros retry_after{0};
    };

    /// Decides on a call that has not been sent yet; to be asked once for each. A call that is not
    /// refused counts as sent.
    [[nodiscard]] std::optional<refusal> decide(const query& call);
    /// As `decide`, for another attempt of a call; counts nothing.
    [[nodiscard]] std::optional<refusal> decide_again(const query& call);
    /// Counts a call that is sent without a decision.
    void on_sent(const query& call);
    /// When a caller returns whose call no server may get before `not_before`.
    [[nodiscard]] micros return_time(const query& call, micros not_before);

    [[nodiscard]] customer_shares& shares() { return shares_; }

private:
    [[nodiscard]] customer_shares::call claim_of(const query& call) const;
    /// The call as if the excess of customers beyond their shares were not waiting before it.
    [[nodiscard]] wait_allowance::query without_excess(const query& call);
    [[nodiscard]] refusal too_late(const query& call);
    [[nodiscard]] micros assign_return(const query& call, const customer_id& room_of,
                                       micros not_before);

    wait_allowance allowance_;
    customer_shares shares_;
    return_schedule returns_;
};

} // namespace jujubetide
