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

/// What a node's row in the store says of it.
struct node_record {
    node_id node;
    incarnation start;
    endpoint callers;
    endpoint peers;
    failure_domain_id failure_domain;
};

/// Knows the other nodes: finds them through their rows in the store, and exchanges digests with
/// them, by which it also knows which of them live.
class peer_exchange final : public table_observer {
public:
    static constexpr const char* table = "jujubetide-nodes";
    /// Between two digests of a node with few peers.
    static constexpr micros heartbeat_period{300'000};
    /// With more peers than this, digests are sent less often, so that what a node sends and reads
    /// in a second does not grow with the number of nodes.
    static constexpr std::size_t max_peers_per_period = 100;
    /// A node that was not heard for this long counts as dead.
    [[nodiscard]] micros silence_limit() const;

    /// What is passed in must outlive the exchange.
    static absl::StatusOr<std::unique_ptr<peer_exchange>> make(serving_state& state,
                                                               row_store& store, incarnation start);

    /// Writes the own row, and begins to tell the peers.
    void start();
    /// Tells the peers at once that this node leaves, and removes its row.
    void leave();
    /// Sends a digest now.
    void send_heartbeat();
    /// Removes the rows of nodes that were not heard for long; for the holder of the duties.
    void remove_dead_rows();
    /// What the digests say of the duty lease; nothing when this node does not hold it.
    void set_lease(std::optional<lease_row> held) { lease_ = std::move(held); }
    /// Is called with the lease's row as its holder tells it.
    void on_peer_lease(std::function<void(const lease_row&)> handler) {
        lease_told_ = std::move(handler);
    }
    void set_has_usage_history(bool knows) { knows_usage_ = knows; }
    [[nodiscard]] bool has_usage_history() const { return knows_usage_; }
    /// What tells of the newest changes of the shared tables for digests.
    void set_table_versions(std::function<std::vector<row_version>()> versions) {
        table_versions_ = std::move(versions);
    }
    /// What the digests say of the store: whether it answers, and whether this node follows it.
    void set_store_access(bool reaches, bool follows);
    /// Is called when a peer tells that it knows a newer change of a shared table.
    void on_newer_table(std::function<void()> handler) { newer_told_ = std::move(handler); }

    [[nodiscard]] incarnation own_incarnation() const { return start_; }
    /// Where callers may connect now, this node included while it is not leaving.
    [[nodiscard]] std::vector<directory_entry> directory() const;
    /// Where to ask the peer that has run longest and knows the usage counts.
    [[nodiscard]] std::optional<endpoint> oldest_peer() const;
    /// Whether this node is among the few that are to follow the store's tables for all.
    [[nodiscard]] bool is_table_reader() const;
    /// Whether a peer that lives follows the store's tables.
    [[nodiscard]] bool has_live_table_reader() const;
    /// One of the peers that know a newer change of the shared table `index`.
    [[nodiscard]] std::optional<endpoint> peer_with_newer_table(std::size_t index,
                                                                row_version than) const;
    /// Whether a peer that lives holds the duty lease.
    [[nodiscard]] bool has_peer_holding_duties() const;
    /// Whether all nodes that live have told a digest since `since`.
    [[nodiscard]] bool has_heard_all_since(time_point since) const;
    /// Servers that each service's calls need, over all nodes that live.
    [[nodiscard]] std::map<service_id, double> total_demand() const;
    [[nodiscard]] std::size_t live_peers() const;
    /// Whether this node is one of the few that take duties over, by the order of the names of
    /// those that live.
    [[nodiscard]] bool is_duty_candidate() const;

protected:
    void do_table(const std::vector<stored_row>& rows, row_version at) override;
    void do_changes(const std::vector<stored_row>& rows) override;

private:
    struct peer {
        node_record record;
        time_point known_since{};
        /// When its last digest came.
        std::optional<time_point> heard;
        /// As of the last look.
        bool was_live = false;
        /// Its row was removed; forgotten once it is silent.
        bool row_gone = false;
        bool is_ready = false;
        bool is_leaving = false;
        double cores = 1.0;
        bool reaches_store = true;
        bool follows_tables = false;
        bool holds_duties = false;
        bool has_usage_history = false;
        std::vector<row_version> table_versions;
        std::map<service_id, double> demand;
    };

    peer_exchange(serving_state& state, row_store& store, incarnation start);
    void receive(std::string_view bytes);
    void put_row(const stored_row& row);
    void write_own_row();
    void look();
    /// Puts what changes with calls into a digest: all of it at times and at the end, else only
    /// what changed lately.
    void add_usage(peer_heartbeat& digest);
    /// Periods from one digest to the next.
    [[nodiscard]] int periods_between() const;
    [[nodiscard]] bool knows_newer(const peer& one) const;
    [[nodiscard]] bool lives(const peer& one) const;

    serving_state& state_;
    row_store& store_;
    incarnation start_;
    std::unique_ptr<udp_socket> socket_;
    std::map<node_id, peer> peers_;
    std::optional<lease_row> lease_;
    std::function<void(const lease_row&)> lease_told_;
    bool knows_usage_ = false;
    bool reaches_store_ = true;
    bool follows_tables_ = false;
    std::function<std::vector<row_version>()> table_versions_;
    std::function<void()> newer_told_;
    int periods_since_told_ = 0;
    int told_since_whole_ = 0;
    bool row_wanted_ = false;
    bool row_pending_ = false;
    std::unique_ptr<timer_subscription> digest_timer_;
    std::unique_ptr<timer_subscription> row_timer_;
};

} // namespace jujubetide
