#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/urgency_level.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace jujubetide {

/// Load of one backend server.
struct server_load {
    std::uint32_t running = 0;
    /// Prompt tokens still to be prefilled, of calls whose answer has not begun.
    std::uint64_t prefill_tokens = 0;
    /// Tokens that the running calls hold, or will hold, in the KV cache.
    std::uint64_t held_tokens = 0;
    /// The parts of `running` below the most urgent level, by level. What they leave is the most
    /// urgent; the first element stays 0.
    std::array<std::uint32_t, urgency_level::count> less_urgent{};

    /// Calls that have to end before a new one of this level gets one of the `slots`.
    [[nodiscard]] std::uint32_t calls_ahead(urgency_level urgency, std::size_t slots) const;

    friend bool operator==(const server_load&, const server_load&) = default;
};

using server_loads = std::map<backend_server_id, server_load>;

/// Tracks the load of the calls in flight that this node and its peers sent. Not thread-safe.
class load_tracker {
public:
    void on_sent(const backend_server_id& id, std::uint64_t unread, std::uint64_t held,
                 urgency_level urgency = {});
    void on_begun(const backend_server_id& id, std::uint64_t unread);
    /// `unread` is 0 for a call whose answer had begun.
    void on_ended(const backend_server_id& id, std::uint64_t unread, std::uint64_t held,
                  urgency_level urgency = {});

    [[nodiscard]] const server_loads& own() const { return own_; }
    /// Replaces the loads that a peer reported before.
    void set_peer(const node_id& node, server_loads loads);
    void forget_peer(const node_id& node) { set_peer(node, {}); }
    /// Load of a server from all nodes together.
    [[nodiscard]] server_load total(const backend_server_id& id) const;

private:
    server_loads own_;
    std::map<node_id, server_loads> peers_;
    /// Sums over the peers.
    absl::flat_hash_map<backend_server_id, server_load> peer_sums_;
};

} // namespace jujubetide
