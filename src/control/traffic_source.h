#pragma once

#include "jujubetide/base/ids.h"

namespace jujubetide {

/// Tells how much traffic a service has. Thread-safe; calls may block.
class traffic_source {
public:
    virtual ~traffic_source() = default;
    /// Requests of the service in a second, over all nodes that answer.
    [[nodiscard]] double request_rate(const service_id& service) {
        return do_request_rate(service);
    }

protected:
    traffic_source() = default;
    traffic_source(const traffic_source&) = default;
    traffic_source& operator=(const traffic_source&) = default;
    virtual double do_request_rate(const service_id& service) = 0;
};

} // namespace jujubetide
