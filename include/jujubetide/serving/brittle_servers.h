#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace jujubetide {

/// Keeps the calls that brittle servers have to reject for want of room within the number that they
/// can stand in a second. Nodes know each other's calls only as of their last heartbeats, so each
/// one estimates from its own demand how many the others may be sending unseen, and sends at random
/// so that all together stay within a part of the room that it sees. Not thread-safe.
class brittle_servers {
public:
    /// Time until the calls that a node sent are known to its peers.
    static constexpr micros report_delay{450'000};
    /// Part of the seen room that calls may fill before they are known.
    static constexpr double usable_room = 0.4;
    /// Longest time without calls to a server that rejected one.
    static constexpr micros max_pause{10'000'000};

    /// `random` must outlive this object.
    explicit brittle_servers(random_source& random) : random_(random) {}

    /// Sets the number of nodes that may send to the servers, including this one.
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }

    /// An answer said how many rejections in a second the server can stand, or nothing. Returns
    /// whether that is news.
    bool on_answer(const backend_server_id& server,
                   std::optional<std::uint32_t> rejections_per_second);
    /// The server rejected a call of this node.
    void on_rejected(const backend_server_id& server, time_point now);
    void forget(const backend_server_id& server) { servers_.erase(server); }

    /// Whether this node may send the call that is being placed to the server, which has `slots`
    /// and, as far as known, `running` calls of all nodes. To be asked once a call.
    [[nodiscard]] bool may_send(const backend_server_id& server, std::size_t slots,
                                std::size_t running, time_point now);
    [[nodiscard]] bool is_brittle(const backend_server_id& server) const {
        return servers_.contains(server);
    }
    [[nodiscard]] std::size_t count() const { return servers_.size(); }

private:
    struct brittle_server {
        std::uint32_t rejections_per_second = 0;
        time_point paused_until{};
        /// Calls that might have gone to the server, each with a weight that decays.
        double demand = 0.0;
        time_point demand_at{};
    };

    random_source& random_;
    absl::flat_hash_map<backend_server_id, brittle_server> servers_;
    std::size_t nodes_ = 1;
};

} // namespace jujubetide
