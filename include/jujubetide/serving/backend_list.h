#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// One running instance of a backend server, as it registered itself.
struct backend_server {
    backend_server_id id;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    version_id version;
    std::size_t slots = 1;
    /// Accepts no new calls and stops soon.
    bool leaving = false;
    /// Time from its start until it runs at full speed.
    millis warm_up{0};
    bool reclaimable = false;
    /// Start time that the process reported, if any; detects a restart under the same id.
    std::int64_t started_at_ms = 0;
};

/// The registered backend servers. While the registry is unavailable, registrations of running
/// servers lapse too: a server whose registration lapsed without an announced stop is used as a
/// last resort until it has had time to register again. Not thread-safe.
class backend_list {
public:
    /// How long a server with a lapsed registration may be used when there is no other.
    static constexpr micros reregistration_grace{1'900'000};

    void put(const backend_server& server);
    void remove(const backend_server_id& id, time_point now);
    /// Removes the servers that did not register again in time and returns their ids.
    std::vector<backend_server_id> expire(time_point now);

    struct entry {
        backend_server server;
        /// When the registration lapsed, if it has.
        std::optional<time_point> lapsed_at;
    };

    /// Ids of the listed servers that are not in `servers`.
    [[nodiscard]] std::vector<backend_server_id>
    missing_from(const std::vector<backend_server>& servers) const;
    /// Null if the id is not listed.
    [[nodiscard]] const entry* find(const backend_server_id& id) const;
    [[nodiscard]] const std::map<backend_server_id, entry>& all() const { return entries_; }
    /// Servers of a service that may get new calls; with lapsed registration only if no others.
    [[nodiscard]] std::vector<const backend_server*> usable(const service_id& service) const;

private:
    std::map<backend_server_id, entry> entries_;
};

} // namespace jujubetide
