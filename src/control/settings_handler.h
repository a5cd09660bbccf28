#pragma once

#include "control/control_parts.h"
#include "control/operator_gate.h"

namespace httplib {
class Server; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// Operators' calls on settings: read, check, apply, history. Thread-safe.
class settings_handler {
public:
    settings_handler(const control_parts& parts, const operator_gate& gate)
        : parts_(parts), gate_(gate) {}

    void add_routes(httplib::Server& routes);

private:
    void read(const httplib::Request& request, httplib::Response& response);
    void check(const httplib::Request& request, httplib::Response& response);
    void apply(const httplib::Request& request, httplib::Response& response);
    void history(const httplib::Request& request, httplib::Response& response);
    absl::StatusOr<revision> accepted_revision(const settings_change& change,
                                               const snapshot_ptr& newest);

    const control_parts& parts_;
    const operator_gate& gate_;
};

} // namespace jujubetide
