#pragma once

#include "jujubetide/base/sharded_map.h"
#include "jujubetide/limits/admission.h"
#include "jujubetide/limits/customer_demand.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace jujubetide {

struct share_admission_options {
    /// Recent work is remembered with this time constant.
    micros memory{std::chrono::seconds(5)};
    /// Shares are enforced when the estimated wait is above this part of the time allowed.
    double pressure = 0.25;
    /// A customer may use this multiple of its share before it is refused.
    double tolerance = 1.1;
    /// Fixed work of a request besides its prompt, in tokens.
    double request_tokens = 200.0;
    /// Part of the time to the deadline that an estimate may use up.
    double deadline_part = 0.9;
    /// Work that other nodes told counts for this time unless it is told again.
    micros remote_lifetime{std::chrono::seconds(10)};
};

/// Refuses what cannot begin before its deadline, and, when a service is under pressure, customers
/// that use more than their weighted share. Shares that others leave unused are free to take: a
/// customer is held to its share of the work only while the work of all exceeds what the service
/// does. Counts the own node's work and what other nodes told of theirs. Thread-safe, in shards by
/// service.
class share_admission final : public admission {
public:
    explicit share_admission(share_admission_options options = {}) : options_(options) {}

    /// The own node's demand, for other nodes.
    [[nodiscard]] std::vector<customer_demand> own_demand(time_point now) const;
    /// Takes the demand of all other nodes together; it replaces what was told before. Customers
    /// without any work left, here or elsewhere, are forgotten.
    void set_remote_demand(const std::vector<customer_demand>& demand, time_point now);

protected:
    admission_decision do_decide(const admission_query& query) override;
    void do_on_finished(const admission_query& query, time_point now) override;

private:
    /// Tokens of work, decaying from `updated` on.
    struct work {
        double tokens = 0.0;
        time_point updated{};
    };
    struct usage {
        double share = 1.0;
        work admitted;
        /// Tokens of work at other nodes, and when they were told.
        double remote = 0.0;
        time_point told{};
    };
    struct service_usage {
        absl::flat_hash_map<std::string, usage> customers;
        work ended;
    };

    [[nodiscard]] double decayed(const work& done, time_point now) const;
    void add(work& done, double tokens, time_point now) const;
    [[nodiscard]] double remote_tokens(const usage& of, time_point now) const;
    [[nodiscard]] double tokens_of(const admission_query& query) const;
    [[nodiscard]] bool is_over_share(const service_usage& service,
                                     const admission_query& query) const;

    share_admission_options options_;
    sharded_map<service_id, service_usage> services_;
};

} // namespace jujubetide
