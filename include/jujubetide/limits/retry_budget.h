#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"

#include <atomic>
#include <cstddef>

namespace jujubetide {

/// Bounds the retries of each service to a share of its requests, so that retries cannot multiply
/// an overload. Thread-safe.
class retry_budget {
public:
    /// Retries that a service may spend before it has earned any.
    static constexpr double initial_tokens = 3.0;
    /// Retries that a service can save up.
    static constexpr double max_tokens = 20.0;

    /// What one of `nodes` may save up so that all together stay within `slack`.
    static double share_of(double slack, std::size_t nodes);
    /// Sets how many retries a service can save up, for nodes that share one bound.
    void set_max(double tokens) { max_ = tokens; }
    /// A request arrived: earns `retry_percent` hundredths of a retry.
    void on_request(const service_id& service, double retry_percent);
    /// Spends one retry; returns whether the budget had one.
    [[nodiscard]] bool try_spend(const service_id& service);

private:
    struct bucket {
        double tokens = initial_tokens;
    };
    std::atomic<double> max_{max_tokens};
    sharded_map<service_id, bucket> buckets_;
};

} // namespace jujubetide
