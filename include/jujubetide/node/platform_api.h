#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/serving/usage_ledger.h"

#include <absl/status/status.h>

#include <functional>

namespace jujubetide {

/// The desired number of backend servers of a service in a failure domain.
struct server_order {
    service_id service;
    failure_domain_id failure_domain;
    bool reclaimable = false;
    unsigned count = 0;

    friend bool operator==(const server_order&, const server_order&) = default;
};

/// Calls to the platform that the node with the duty lease makes for all nodes. Handlers are called
/// asynchronously, exactly once.
///
/// Errors: Unavailable, the call was not accepted; DeadlineExceeded, it may have been; Aborted, the
/// order cannot be fulfilled at present.
class platform_api {
public:
    using handler = std::function<void(const absl::Status&)>;

    /// The lease holder that makes a call, and its fencing number.
    struct authority {
        node_id holder;
        fencing_number fencing;
    };

    virtual ~platform_api() = default;
    void report_usage(const authority& by, usage_window window, const usage_counts& counts,
                      handler done) {
        do_report_usage(by, window, counts, std::move(done));
    }
    void order_servers(const authority& by, const server_order& order, handler done) {
        do_order_servers(by, order, std::move(done));
    }

protected:
    platform_api() = default;
    platform_api(const platform_api&) = default;
    platform_api& operator=(const platform_api&) = default;
    virtual void do_report_usage(const authority& by, usage_window window,
                                 const usage_counts& counts, handler done) = 0;
    virtual void do_order_servers(const authority& by, const server_order& order, handler done) = 0;
};

} // namespace jujubetide
