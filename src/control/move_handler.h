#pragma once

#include "control/control_parts.h"
#include "control/operator_gate.h"

namespace httplib {
class Server; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// Operators' calls on version moves: start, list, take back, audit. Thread-safe.
class move_handler {
public:
    move_handler(const control_parts& parts, const operator_gate& gate)
        : parts_(parts), gate_(gate) {}

    void add_routes(httplib::Server& routes);

private:
    void start(const httplib::Request& request, httplib::Response& response);
    void plan(const httplib::Request& request, httplib::Response& response);
    void list(const httplib::Request& request, httplib::Response& response);
    void take_back(const httplib::Request& request, httplib::Response& response);
    void audit(const httplib::Request& request, httplib::Response& response);
    /// A new move as a caller asks for it, from now on and from the service's present version.
    struct asked_move {
        version_move move;
        move_actor actor;
        /// Whether to start it also where its due time cannot be met.
        bool anyway = false;
        snapshot_ptr settings;
    };
    /// Reads a call that names a new move; where it is refused, fills in the refusal.
    std::optional<asked_move> read_asked(const httplib::Request& request,
                                         httplib::Response& response) const;
    /// The service with the id, if the caller may see it; otherwise fills in the refusal.
    const service_settings* visible_service(const settings_snapshot& settings,
                                            const operator_settings& person,
                                            const service_id& service,
                                            httplib::Response& response) const;
    /// Stops the version's traffic before the table is asked.
    void stop_traffic(const version_move& known, const std::string& evidence);

    const control_parts& parts_;
    const operator_gate& gate_;
};

} // namespace jujubetide
