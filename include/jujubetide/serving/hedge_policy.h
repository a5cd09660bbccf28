#pragma once

#include "jujubetide/serving/latency_histogram.h"
#include "jujubetide/serving/serving_config.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace jujubetide {

/// Calls that take similar times: those of one service, kind and order of magnitude.
struct hedge_class {
    service_id service;
    call_kind kind = call_kind::idempotent;
    unsigned size_class = 0;

    /// `size` in tokens of the prompt or bytes of the request.
    static hedge_class make(service_id service, call_kind kind, std::uint64_t size);

    friend bool operator==(const hedge_class&, const hedge_class&) = default;
    template <class Hash>
    friend Hash AbslHashValue(Hash hash, // NOLINT(readability-identifier-naming)
                              const hedge_class& own) {
        return Hash::combine(std::move(hash), own.service, static_cast<int>(own.kind),
                             own.size_class);
    }
};

struct hedge_call {
    hedge_class of;
    /// Estimated time to the answer, or to the first event; 0 if there is no estimate.
    micros expected{0};
};

/// What is known of a server that could take the second attempt, and of the first one's.
struct hedge_servers {
    bool in_same_failure_domain = false;
    /// Calls of all nodes and places at the first server and at the second one.
    std::size_t first_running = 0;
    std::size_t second_running = 0;
    std::size_t second_slots = 0;
    /// The second server is paused, cold, limited or brittle, or its version is on trial.
    bool is_second_restricted = false;
    /// Calls and places of all servers of the service.
    std::size_t running = 0;
    std::size_t slots = 0;
};

enum class hedge_verdict { send, off, restricted_server, same_condition, pressure, no_budget };

std::string_view name_of(hedge_verdict verdict);

/// Decides when a call that may be repeated gets a second attempt beside its first one: once it has
/// taken longer than most calls of its class, while that saves time and the servers have room.
/// A class with few samples is judged by how the service's answers relate to their estimates.
/// Second attempts stay within a share of the service's calls. Not thread-safe.
class hedge_policy {
public:
    /// Second attempts that a service can save up.
    static constexpr double max_saved = 5.0;
    /// Weight of the samples below which the latencies of a class are not known.
    static constexpr double min_samples = 50.0;
    /// Share of a service's places in use above which there is no room for second attempts.
    static constexpr double max_load = 0.7;
    /// Time without second attempts after a call was refused for want of room.
    static constexpr micros pause_after_refusal{2'000'000};

    /// `share` is the limit on second attempts per call of a service, from 0 (off) to 1.
    explicit hedge_policy(double share) : share_(share) {}

    /// Whether a call of the route may have two attempts at a time.
    static bool may_hedge(const serving_route& route);

    [[nodiscard]] bool is_on() const { return share_ > 0.0; }
    /// A call of the service arrived.
    void on_call(const service_id& service);
    /// A call of the service was refused for want of room, or a server rejected one.
    void on_refused(const service_id& service, time_point now);
    /// An attempt took `latency` until its answer, or until the first event of its stream.
    void on_answer(const hedge_call& call, micros latency, time_point now);
    /// An attempt was cancelled without an answer after `elapsed`.
    void on_cancelled(const hedge_call& call, micros elapsed, time_point now);

    /// Time after which an attempt of the class is slow; nothing if a second one would not pay.
    [[nodiscard]] std::optional<micros> delay(const hedge_call& call) const;
    /// Whether a second attempt of a slow call may be sent now; spends the service's budget if so.
    [[nodiscard]] hedge_verdict try_hedge(const service_id& service, const hedge_servers& servers,
                                          time_point now);

private:
    struct service_state {
        double saved = 0.0;
        std::optional<time_point> refused_at;
        /// Latencies of calls whose estimate would have been `usual_estimate`.
        latency_histogram relative;
    };
    static constexpr micros usual_estimate{100'000};

    static micros scaled(micros time, micros from, micros to);
    [[nodiscard]] std::optional<micros> slow_after(const latency_histogram& known) const;

    double share_;
    absl::flat_hash_map<service_id, service_state> services_;
    absl::flat_hash_map<hedge_class, latency_histogram> latencies_;
};

} // namespace jujubetide
