#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/server_limits.h"
#include "jujubetide/serving/serving_config.h"

#include <map>
#include <optional>
#include <vector>

namespace jujubetide {

/// How far the calls to a cold server may exceed, in any second, what its service says that it
/// stands.
struct cold_call_tolerance {
    double factor = 1.0;
    double calls = 0.0;
};

/// Bounds the calls of all nodes to each server that is cold: that has just started, or says that
/// it is slow again. Not thread-safe.
class cold_servers {
public:
    /// Bounds nothing without `tolerance`. `limits` must outlive this object.
    cold_servers(std::optional<cold_call_tolerance> tolerance, server_limits& limits)
        : tolerance_(tolerance), limits_(limits) {}

    /// The bounds of services may have changed.
    void on_config(const serving_config& config);
    void on_registered(const backend_server& server, time_point now);
    /// The server gets calls again after a time without any; it may be cold although its
    /// registration does not say so yet.
    void on_returned(const backend_server& server, time_point now);
    /// Ends the bounds of servers that are warm by now and returns their ids.
    std::vector<backend_server_id> expire(time_point now);
    /// The server is gone.
    void forget(const backend_server_id& server) { end(server); }

    [[nodiscard]] bool is_cold(const backend_server_id& server) const {
        return cold_.contains(server);
    }
    [[nodiscard]] std::size_t count() const { return cold_.size(); }

private:
    struct cold_server {
        service_id service;
        time_point until{};
        /// Until then, whatever the registration says.
        time_point assumed_until{};
    };

    void end(const backend_server_id& server);
    [[nodiscard]] std::optional<call_bound> bound_of(const service_id& service) const;

    std::optional<cold_call_tolerance> tolerance_;
    server_limits& limits_;
    std::map<service_id, cold_traits> traits_;
    std::map<backend_server_id, cold_server> cold_;
};

} // namespace jujubetide
