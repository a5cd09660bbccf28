#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/evacuated_domains.h"
#include "jujubetide/serving/leaving_notices.h"

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
    /// As registered: accepts no new calls and stops soon.
    bool leaving = false;
    /// Time from its start until it runs at full speed.
    millis warm_up{0};
    bool reclaimable = false;
    /// Start time that the process reported, if any; detects a restart under the same id.
    std::int64_t started_at_ms = 0;

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

/// The registered backend servers. While the registry is unavailable, registrations of running
/// servers lapse too: a server whose registration lapsed without an announced stop is used as a
/// last resort until it has had time to register again. A server that says in its answers that it
/// leaves gets no new calls either, whatever its registration says, nor does one in an evacuated
/// failure domain. Not thread-safe.
class backend_list {
public:
    /// How long a server with a lapsed registration may be used when there is no other.
    static constexpr micros reregistration_grace{1'900'000};

    void put(const backend_server& server);
    void remove(const backend_server_id& id, time_point now);
    /// A restored registry lacks the server. It may be used, as the last resort, until the registry
    /// has taken registrations for as long as a server needs to write its own again.
    void lose(const backend_server_id& id, time_point now);
    /// The registry takes no registrations: the time of lost servers starts anew.
    void postpone_lost(time_point now);
    /// Removes the servers that did not register again in time and returns their ids.
    std::vector<backend_server_id> expire(time_point now);
    /// An answer of the server said that it leaves. Returns whether that was not known.
    bool on_leaving_answer(const backend_server& server, time_point now);
    /// Returns the servers that were not known to leave.
    std::vector<backend_server_id> on_peer_leaving_reports(std::vector<leaving_report> reports,
                                                           time_point now);
    [[nodiscard]] const leaving_notices& notices() const { return notices_; }
    [[nodiscard]] evacuated_domains& evacuated() { return evacuated_; }
    [[nodiscard]] const evacuated_domains& evacuated() const { return evacuated_; }

    struct entry {
        backend_server server;
        /// Said by the server in an answer.
        bool has_leaving_notice = false;
        /// When the registration lapsed, if it has.
        std::optional<time_point> lapsed_at;
        /// A restore removed the registration, not the server or its silence.
        bool is_lost = false;

        [[nodiscard]] bool is_leaving() const { return server.leaving || has_leaving_notice; }
    };

    /// Ids of the listed servers that are not in `servers`.
    [[nodiscard]] std::vector<backend_server_id>
    missing_from(const std::vector<backend_server>& servers) const;
    /// Null if the id is not listed.
    [[nodiscard]] const entry* find(const backend_server_id& id) const;
    [[nodiscard]] const std::map<backend_server_id, entry>& all() const { return entries_; }
    /// Servers of a service that may get new calls; with lapsed registration only if no others.
    [[nodiscard]] std::vector<const backend_server*> usable(const service_id& service) const;
    /// Whether the server accepts new calls and its failure domain is not evacuated.
    [[nodiscard]] bool may_get_calls(const entry& listed) const {
        return !listed.is_leaving() && !evacuated_.contains(listed.server.failure_domain);
    }
    /// Whether a service has servers that accept calls, but only in evacuated failure domains.
    [[nodiscard]] bool is_evacuated(const service_id& service) const;

private:
    void update_notice(const backend_server_id& id);
    /// Whether the id is listed with a run that started later.
    [[nodiscard]] bool has_later_run(const backend_server_id& id, std::int64_t started_at_ms) const;

    std::map<backend_server_id, entry> entries_;
    leaving_notices notices_;
    evacuated_domains evacuated_;
};

} // namespace jujubetide
