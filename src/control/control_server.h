#pragma once

#include "control/control_metrics.h"
#include "control/control_parts.h"
#include "control/move_handler.h"
#include "control/operator_gate.h"
#include "control/settings_handler.h"
#include "control/status_handler.h"

#include "jujubetide/http/http_server.h"

#include <absl/status/statusor.h>

#include <memory>

namespace jujubetide {

/// The operators' HTTP interface.
class control_server {
public:
    /// The parts and what they refer to outlive the server, as does the link, whose traffic the
    /// metrics show; null for none.
    static absl::StatusOr<std::unique_ptr<control_server>> make(const control_parts& parts,
                                                                const http_server_options& options,
                                                                const peer_link* peers = nullptr);

    [[nodiscard]] const endpoint& address() const { return http_->address(); }
    /// Takes no new calls and waits for the running ones.
    void stop() { http_->stop(); }

private:
    control_server(const control_parts& parts, const peer_link* peers);
    void add_routes(httplib::Server& routes);
    void add_health_routes(httplib::Server& routes);

    control_parts parts_;
    const peer_link* peers_;
    control_metrics metrics_;
    operator_gate gate_;
    settings_handler settings_;
    move_handler moves_;
    status_handler status_;
    std::unique_ptr<http_server> http_;
};

} // namespace jujubetide
