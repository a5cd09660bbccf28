#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace jujubetide {

/// What is asked for when a host is started.
struct host_start {
    /// The same id twice starts one host.
    std::string start_id;
    host_class_id host_class;
    failure_domain_id failure_domain;
    bool reclaimable = false;
};

/// Notice that the cloud will take a host back.
struct reclaim_notice {
    host_id host;
    failure_domain_id failure_domain;
    /// Time left from the answer of the call that returned the notice.
    millis time_left{0};
};

/// The current price of a machine class in a failure domain.
struct host_price {
    host_class_id host_class;
    failure_domain_id failure_domain;
    bool reclaimable = false;
    micro_price price;
};

/// The cloud's interface for hosts. Thread-safe; calls block. Errors as for `table`, and
/// ResourceExhausted from `start` when the cloud refuses the start.
class cloud {
public:
    virtual ~cloud() = default;

    [[nodiscard]] absl::StatusOr<host_id> start(const host_start& request) {
        return do_start(request);
    }
    [[nodiscard]] absl::Status stop(const host_id& host) { return do_stop(host); }
    [[nodiscard]] absl::StatusOr<std::vector<reclaim_notice>> reclaim_notices() {
        return do_reclaim_notices();
    }
    [[nodiscard]] absl::StatusOr<std::vector<host_price>> prices() { return do_prices(); }

protected:
    cloud() = default;
    cloud(const cloud&) = default;
    cloud& operator=(const cloud&) = default;
    virtual absl::StatusOr<host_id> do_start(const host_start& request) = 0;
    virtual absl::Status do_stop(const host_id& host) = 0;
    virtual absl::StatusOr<std::vector<reclaim_notice>> do_reclaim_notices() = 0;
    virtual absl::StatusOr<std::vector<host_price>> do_prices() = 0;
};

} // namespace jujubetide
