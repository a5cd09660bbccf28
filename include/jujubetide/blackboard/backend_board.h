#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/base/units.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace jujubetide {

/// What a node knows of one backend server besides its settings.
struct backend_state {
    /// The last load report and when it was received.
    load_report load;
    time_point load_received_at{};
    bool has_load = false;
    /// Own requests sent to it and not yet ended.
    std::uint32_t own_running = 0;
    /// Own requests sent since `load_received_at`.
    std::uint32_t own_sent_since_load = 0;
    token_count own_prompt_tokens_since_load;
    /// No new work before this time, after failures seen by this node.
    time_point avoid_until{};
    std::uint32_t consecutive_failures = 0;
};

/// The backend servers' loads and the hosts that are leaving. Thread-safe, in shards.
class backend_board {
public:
    /// Takes a load report if its sequence is newer than the known one.
    void report_load(const backend_server_id& id, const load_report& load, time_point now);
    void on_sent(const backend_server_id& id, token_count prompt_tokens);
    void on_finished(const backend_server_id& id);
    /// Records a failed call; `avoid_for` is how long to send no new work.
    void on_failure(const backend_server_id& id, time_point now, micros avoid_for);
    void on_success(const backend_server_id& id);
    [[nodiscard]] backend_state state(const backend_server_id& id) const;

    /// Marks a host as leaving. The mark stays: a host that left does not return under its id.
    /// Returns whether it is new.
    bool mark_leaving(const host_id& host);
    [[nodiscard]] bool is_leaving(const host_id& host) const;
    /// Whether the server may get new work at `now`, as far as its host and own failures go.
    [[nodiscard]] bool is_usable(const backend_server_id& id, const host_id& host,
                                 time_point now) const;

private:
    sharded_map<backend_server_id, backend_state> states_;
    sharded_map<host_id, bool> leaving_;
    std::atomic<std::size_t> leaving_count_{0};
};

} // namespace jujubetide
