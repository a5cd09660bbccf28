#pragma once

#include "control/control_parts.h"
#include "control/operator_gate.h"

#include <absl/status/statusor.h>

#include <string>

namespace httplib {
class Server; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// `GET /v1/status`: where settings are in force, services, backend servers and moves. With
/// `?change=ID` the revision is that of the change. Thread-safe.
class status_handler {
public:
    status_handler(const control_parts& parts, const operator_gate& gate)
        : parts_(parts), gate_(gate) {}

    void add_routes(httplib::Server& routes);

private:
    void read(const httplib::Request& request, httplib::Response& response);
    /// The revision that the caller asks about.
    absl::StatusOr<revision> asked_revision(const std::string& change) const;

    const control_parts& parts_;
    const operator_gate& gate_;
};

} // namespace jujubetide
