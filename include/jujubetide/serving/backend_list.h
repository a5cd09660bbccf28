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

/// One start of a backend server, as it registered itself.
struct backend_server {
    backend_server_id id;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    version_id version;
    std::size_t slots = 1;
    /// Takes no new work and ends soon.
    bool leaving = false;
    /// Until it works at its full speed.
    millis warm_up{0};
    bool reclaimable = false;
    /// When the process started, as far as it says; tells a restart under the same id.
    std::int64_t started_at_ms = 0;
};

/// The backend servers that are registered now. Registrations lapse while the registry is away,
/// also of servers that live: one that vanished without having said that it leaves is used as a
/// last resort until it had time to come back. Not thread-safe.
class backend_list {
public:
    /// How long a server that vanished may be used where there is no other.
    static constexpr micros reregistration_grace{1'900'000};

    void put(const backend_server& server);
    void remove(const backend_server_id& id, time_point now);
    /// Forgets the vanished servers whose time to come back has passed; returns them.
    std::vector<backend_server_id> expire(time_point now);

    struct entry {
        backend_server server;
        /// When the registration vanished, if it has.
        std::optional<time_point> lapsed_at;
    };

    /// Those of the list that are not among `servers`.
    [[nodiscard]] std::vector<backend_server_id>
    missing_from(const std::vector<backend_server>& servers) const;
    /// Null where there is none.
    [[nodiscard]] const entry* find(const backend_server_id& id) const;
    [[nodiscard]] const std::map<backend_server_id, entry>& all() const { return entries_; }
    /// The servers of a service that may get new work; vanished ones only when there are no others.
    [[nodiscard]] std::vector<const backend_server*> usable(const service_id& service) const;

private:
    std::map<backend_server_id, entry> entries_;
};

} // namespace jujubetide
