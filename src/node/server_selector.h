#pragma once

#include "node/serving_state.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace jujubetide {

/// Chooses the backend server of each attempt of a call, or says why the call gets none now. Not
/// thread-safe.
class server_selector final {
public:
    /// What the choice depends on.
    struct call_state {
        const serving_route& route;
        /// May be null.
        const serving_customer* customer = nullptr;
        const serving_service& service;
        const call_fields& fields;
        /// The amount charged against the customer's usage cap.
        double charged = 0.0;
        /// Servers that the call has already been sent to.
        std::span<const backend_server_id> tried;
        /// Addresses at which an attempt may have arrived.
        std::span<const endpoint> reached;
        /// Time since the call was received, and until its deadline.
        micros elapsed{0};
        micros time_left{0};
        /// Whether the caller has received events of the stream.
        bool has_begun = false;
    };

    using refusal = call_admission::refusal;

    struct selection {
        /// Absent if no server can take the call.
        std::optional<placement_choice> choice;
        std::optional<refusal> reason;
        /// Number of servers among which was chosen.
        std::size_t candidates = 0;
    };

    /// `state` must outlive this object.
    explicit server_selector(serving_state& state) : state_(state) {}

    [[nodiscard]] selection select(const call_state& of);

private:
    /// The servers that may get the call now, and those that may not because of their limits.
    struct candidate_list {
        std::vector<const backend_server*> servers;
        /// Servers that are not listed only because of the limits that they named.
        std::size_t limited = 0;
        /// The shortest time in which one of these takes another call from all nodes together.
        micros limited_interval{micros::max()};
    };

    /// The servers of the call's service that may get a call now, within the limits they named, at
    /// addresses that no attempt of this call has reached: what answers there now may repeat what
    /// was answered to that attempt.
    [[nodiscard]] candidate_list candidates(const call_state& of);
    [[nodiscard]] std::optional<placement_choice>
    place(const call_state& of, std::span<const backend_server* const> servers);
    [[nodiscard]] call_admission::query admission_query_of(const call_state& of,
                                                           const placement_choice& choice) const;
    /// Why the call is better refused than sent to its server.
    [[nodiscard]] std::optional<refusal> admit(const call_state& of,
                                               const placement_choice& choice);
    [[nodiscard]] refusal limit_refusal(const call_state& of, const candidate_list& list);
    [[nodiscard]] refusal evacuation_refusal(const call_state& of);

    serving_state& state_;
};

} // namespace jujubetide
