#pragma once

#include "node/peer_heartbeat.h"
#include "node/serving_state.h"

#include "jujubetide/lease/lease_state.h"
#include "jujubetide/net/udp_socket.h"
#include "jujubetide/serving/directory_selection.h"
#include "jujubetide/store/row_store.h"
#include "jujubetide/store/table_follower.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace jujubetide {

/// Contents of a node's row in the store.
struct node_record {
    node_id node;
    incarnation start;
    endpoint callers;
    endpoint peers;
    failure_domain_id failure_domain;
};

/// Tracks the other nodes: discovers them through their rows in the store and exchanges heartbeats
/// with them, which also show which of them are live.
class peer_exchange final : public table_observer {
public:
    static constexpr const char* table = "jujubetide-nodes";
    /// Time between two heartbeats of a node with few peers.
    static constexpr micros heartbeat_period{300'000};
    /// With more peers than this, heartbeats are sent less often, so that the number of datagrams
    /// that a node sends and receives per second does not grow with the number of nodes. Only the
    /// table readers, which are few, always send one each `heartbeat_period`.
    static constexpr std::size_t max_peers_per_period = 100;
    /// A node that was not heard for this long counts as dead.
    [[nodiscard]] micros silence_limit() const;

    /// The arguments must outlive the exchange.
    static absl::StatusOr<std::unique_ptr<peer_exchange>> make(serving_state& state,
                                                               row_store& store, incarnation start);

    /// Writes the node's own row and starts sending heartbeats.
    void start();
    /// Notifies the peers at once that this node is leaving, and removes its row.
    void leave();
    /// Sends a heartbeat to all peers now.
    void send_heartbeat();
    /// Removes the rows of nodes that have been silent for long; only for the holder of the duties.
    void remove_dead_rows();
    /// Sets the duty lease for the next heartbeats; nothing when this node does not hold it.
    void set_lease(std::optional<lease_row> lease) { lease_ = std::move(lease); }
    /// The handler is called with the lease's row when its holder sends it.
    void on_peer_lease(std::function<void(const lease_row&)> handler) {
        on_peer_lease_ = std::move(handler);
    }
    void set_has_usage_history(bool has_history) { has_usage_history_ = has_history; }
    [[nodiscard]] bool has_usage_history() const { return has_usage_history_; }
    /// Sets the source of the newest change of each shared table, for heartbeats.
    void set_table_changes(std::function<std::vector<store_position>()> changes) {
        table_changes_ = std::move(changes);
    }
    /// Sets the store access for the next heartbeats: whether the store answers, and whether this
    /// node follows its tables.
    void set_store_access(bool reaches_store, bool follows_tables);
    /// The handler is called when a peer reports a newer change of a shared table.
    void on_newer_table(std::function<void()> handler) { on_newer_table_ = std::move(handler); }

    [[nodiscard]] incarnation own_incarnation() const { return start_; }
    /// Addresses to which callers may connect now, including this node while it is not leaving.
    [[nodiscard]] std::vector<directory_entry> directory() const;
    /// The live peers that reach the backend servers.
    [[nodiscard]] std::vector<forwarding_peer> forwarding_peers() const;
    /// Address of the live peer that has run longest and has the usage counts.
    [[nodiscard]] std::optional<endpoint> oldest_peer() const;
    /// Whether this node is one of the few that follow the store's tables on behalf of all nodes.
    [[nodiscard]] bool is_table_reader() const;
    /// Whether a peer that follows the store's tables was heard lately, within a time that does not
    /// depend on the number of nodes.
    [[nodiscard]] bool has_live_table_reader() const;
    /// Address of a random live peer that has a newer change of the shared table `index` than
    /// `known`.
    [[nodiscard]] std::optional<endpoint> peer_with_newer_table(std::size_t index,
                                                                store_position known) const;
    /// Address of a live peer that has a newer configuration in force than this node.
    [[nodiscard]] std::optional<endpoint> peer_with_newer_config() const;
    /// Whether a live peer holds the duty lease.
    [[nodiscard]] bool has_peer_holding_duties() const;
    /// Whether all live nodes have sent a heartbeat since `since`.
    [[nodiscard]] bool has_heard_all_since(time_point since) const;
    /// Number of servers that each service needs for its calls, summed over all live nodes.
    [[nodiscard]] std::map<service_id, double> total_demand() const;
    [[nodiscard]] std::size_t live_peers() const;
    /// Whether this node is one of the few that may take over the duties: the first live nodes in
    /// the order of their names.
    [[nodiscard]] bool is_duty_candidate() const;

protected:
    void do_snapshot(const std::vector<stored_row>& rows, store_position at) override;
    void do_changes(const std::vector<stored_row>& rows) override;

private:
    struct peer {
        node_record record;
        time_point first_seen{};
        /// Time of its last heartbeat.
        std::optional<time_point> last_heard;
        /// As of the last `update_liveness`, or set by a heartbeat since.
        bool was_live = false;
        /// Its row was removed; the entry is erased once the peer is silent.
        bool is_row_removed = false;
        /// Its row is missing since a restore of the store; erased likewise.
        bool is_row_lost = false;
        bool is_ready = false;
        bool is_leaving = false;
        double cores = 1.0;
        bool reaches_store = true;
        bool reaches_servers = true;
        bool follows_tables = false;
        bool holds_duties = false;
        bool has_usage_history = false;
        /// The newest change that it has of each shared table.
        std::vector<store_position> table_changes;
        /// Of a release that tells the eras of its tables.
        bool names_eras = false;
        std::uint64_t config_version = 0;
        std::map<service_id, double> demand;
        /// Servers that its calls kept busy between its last two heartbeats.
        std::map<service_id, double> recent_demand;
    };

    peer_exchange(serving_state& state, row_store& store, incarnation start);
    void receive(std::string_view bytes);
    void update_peer(const stored_row& row);
    void write_own_row();
    void update_liveness();
    void update_demand(peer& sender, const std::map<service_id, double>& demand,
                       micros since_last) const;
    void update_unreported_work();
    /// Adds usage and spending to a heartbeat: all of it at intervals and on shutdown, otherwise
    /// only recent changes.
    void add_usage(peer_heartbeat& heartbeat);
    /// Applies what a peer read of the limits of servers that this node knows.
    void apply_server_limits(std::vector<server_limit_report> reports);
    /// The other nodes that may send calls to servers: a silent one may only be out of reach.
    [[nodiscard]] std::vector<node_id> limit_sharers() const;
    /// Number of `heartbeat_period`s from one heartbeat of a node to the next, but for table
    /// readers.
    [[nodiscard]] int periods_per_heartbeat() const;
    [[nodiscard]] bool is_heartbeat_due() const;
    [[nodiscard]] bool has_newer_table(const peer& other) const;
    [[nodiscard]] std::vector<store_position> own_table_changes() const;
    [[nodiscard]] std::uint64_t own_config_version() const;
    [[nodiscard]] bool is_live(const peer& other) const;
    [[nodiscard]] bool is_live_table_reader(const peer& other) const;

    serving_state& state_;
    row_store& store_;
    incarnation start_;
    std::unique_ptr<udp_socket> socket_;
    std::map<node_id, peer> peers_;
    std::optional<lease_row> lease_;
    std::function<void(const lease_row&)> on_peer_lease_;
    bool has_usage_history_ = false;
    bool reaches_store_ = true;
    bool follows_tables_ = false;
    std::function<std::vector<store_position>()> table_changes_;
    /// The era of the last snapshot of the nodes' table, if there was one.
    std::optional<store_era> table_era_;
    std::function<void()> on_newer_table_;
    int periods_since_heartbeat_ = 0;
    int heartbeats_since_full_ = 0;
    bool publishes_row_ = false;
    bool row_write_pending_ = false;
    std::unique_ptr<timer_subscription> digest_timer_;
    std::unique_ptr<timer_subscription> row_timer_;
};

} // namespace jujubetide
