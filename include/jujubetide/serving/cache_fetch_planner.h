#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/prefix_cache_tracker.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/serving_config.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jujubetide {

/// A copy of cached prompt tokens to the server that is to run a call.
struct cache_fetch {
    backend_server_id source;
    endpoint source_address;
    /// Expected number of tokens that need not be prefilled because of it.
    std::uint64_t tokens = 0;
    /// Estimated time until they have arrived.
    micros duration{0};
};

/// Decides whether a server that is to run a call should first fetch the shared tokens of its
/// prompt from another server, and from which one. Designed for bursts that overflow to servers
/// without the prompts' tokens, and for many servers that start at once. Not thread-safe.
class cache_fetch_planner final {
public:
    /// The call for which a server is to be chosen.
    struct call {
        /// Null if the servers do not copy tokens from each other.
        const engine_cache_link* link = nullptr;
        expected_caches caches;
        /// Differs between calls; spreads them over the holders.
        std::string_view key;
        /// Until the answer, or its first event, is late.
        micros time_to_target{0};
        time_point now{};
    };
    /// A server from which tokens may be fetched.
    struct holder {
        const backend_server* server = nullptr;
        double tokens = 0.0;
        std::uint64_t weight = 0;
    };
    /// What the call would take at its server without a fetch, in milliseconds.
    struct estimate {
        double first_event_ms = 0.0;
        double waiting_ms = 0.0;
        double ms_per_token = 0.0;
    };

    cache_fetch_planner(const load_tracker& loads, const server_health& health)
        : loads_(loads), health_(health) {}

    /// Those of the servers that may run the call among which `plan` chooses.
    [[nodiscard]] std::vector<holder> holders(const call& of,
                                              std::span<const backend_server* const> servers) const;
    /// The fetch that `destination` should make for the call, if it is worth the transfer.
    [[nodiscard]] std::optional<cache_fetch> plan(const call& of, std::span<const holder> holders,
                                                  const backend_server& destination,
                                                  const estimate& without) const;
    /// A call with the fetch was sent to `destination`.
    void on_sent(const backend_server_id& destination, const cache_fetch& fetch, time_point now);

private:
    [[nodiscard]] bool can_serve(const backend_server& source, time_point now) const;
    /// Time until the transfers that this node has caused at the server have ended.
    [[nodiscard]] micros link_wait(const backend_server_id& id, time_point now) const;

    const load_tracker& loads_;
    const server_health& health_;
    /// When the last of the transfers that this node has caused at a server ends.
    absl::flat_hash_map<backend_server_id, time_point> link_free_at_;
};

} // namespace jujubetide
