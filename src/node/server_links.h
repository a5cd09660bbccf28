#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/net/connect_check.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jujubetide {

struct serving_state;

/// A node that reaches the backend servers and passes attempts on to them.
struct forwarding_peer {
    node_id node;
    /// Where it listens for peers.
    endpoint address;
};

/// Tracks whether this node reaches the backend servers, and chooses a peer that does while it does
/// not. Failing attempts only raise the question; probes of several servers answer it.
class server_links {
public:
    /// A server that does not accept a probe's connection for this long is not reached.
    static constexpr micros probe_timeout{250'000};
    /// Time from the beginning of a series of probes to that of the next one.
    static constexpr micros probe_interval{500'000};
    /// Time without a byte from any server, while attempts wait, after which servers are probed.
    static constexpr micros stall_limit{700'000};
    /// Servers that must fail to accept a connection before the links count as lost.
    static constexpr std::size_t max_probes = 3;
    /// How long a peer that could not be reached is not chosen.
    static constexpr micros peer_pause{1'000'000};

    /// `state` must outlive this object.
    explicit server_links(serving_state& state) : state_(state) {}

    /// Starts the checks.
    void start();
    /// Sets the source of the live peers that reach the servers.
    void set_peers(std::function<std::vector<forwarding_peer>()> peers) {
        peers_ = std::move(peers);
    }
    /// The handler is called when the links are lost or restored.
    void on_change(std::function<void()> handler) { on_change_ = std::move(handler); }

    /// Events of the attempts over this node's own connections.
    void on_attempt_begun();
    void on_attempt_ended();
    void on_bytes();
    void on_connect_failed() { has_failed_connect_ = true; }
    void on_peer_unreachable(const node_id& peer);

    /// Calls `done` with whether servers other than `suspect` are reached, or with true if no other
    /// is known; at once if the links are lost.
    void check_others(const backend_server_id& suspect, std::function<void(bool)> done);

    [[nodiscard]] bool are_lost() const { return are_lost_; }
    /// Whether answers still arrive over the node's own connections.
    [[nodiscard]] bool carry_answers() const;
    /// A random peer to send attempts through; nothing if no known peer reaches the servers.
    [[nodiscard]] std::optional<forwarding_peer> choose_peer() const;

private:
    void check();
    /// Begins a series unless there is no server to probe.
    void begin_probes(const backend_server_id& excluded = {});
    void probe_next();
    void on_probed(bool is_reached);
    void set_lost(bool are_lost);

    serving_state& state_;
    std::function<std::vector<forwarding_peer>()> peers_;
    std::function<void()> on_change_;
    bool are_lost_ = false;
    bool has_failed_connect_ = false;
    std::size_t running_attempts_ = 0;
    time_point last_progress_{};
    time_point next_series_{};
    /// Addresses of the current series that are still to be probed; the last one is the next.
    std::vector<endpoint> to_probe_;
    std::unique_ptr<connect_check> probe_;
    /// Receive the result of the current series.
    std::vector<std::function<void(bool)>> waiting_;
    std::optional<forwarding_peer> paused_peer_;
    time_point peer_paused_until_{};
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
