#pragma once

#include "membership/fact_flood.h"
#include "membership/load_spread.h"
#include "membership/settings_sync.h"

#include "jujubetide/membership/membership_node.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// One message to be sent once the lock is released.
struct outgoing_message {
    endpoint to;
    peer_message_kind kind = peer_message_kind::heartbeat;
    std::string body;
};

/// What a step decided; carried out without the lock.
struct membership_effects {
    std::vector<outgoing_message> messages;
    std::optional<fetched_settings> fetched;
};

/// The state of a membership node. Each public call takes the lock.
class membership_node::state {
public:
    state(const member& self, std::vector<endpoint> seeds, const dependencies& with,
          const membership_config& config);

    absl::Status on_message(const peer_message& message, membership_effects& effects);
    void on_tick(membership_effects& effects);
    void publish_host(const host_id& host, membership_effects& effects);
    void publish_move(const version_move& record, membership_effects& effects);
    /// Spreads the revision that is now in force at the settings board.
    void publish_settings(membership_effects& effects);
    void publish_leaving_self(membership_effects& effects);
    void on_refused(revision at);

    [[nodiscard]] const node_id& self() const { return self_.node; }
    [[nodiscard]] std::vector<node_id> neighbours() const;
    [[nodiscard]] bool settings_ready();
    [[nodiscard]] std::vector<backend_server_id> watched_servers() const;
    void report_load(const backend_server_id& id, const load_report& load);
    void set_own_demand(const std::vector<customer_demand>& demand);
    [[nodiscard]] std::vector<customer_demand> demand_of_others() const;
    [[nodiscard]] const dependencies& with() const { return with_; }

private:
    absl::Status on_heartbeat(const peer_message& message, membership_effects& effects);
    absl::Status on_facts(const peer_message& message, membership_effects& effects);
    absl::Status on_digest(const peer_message& message, membership_effects& effects);
    absl::Status on_loads(const peer_message& message, membership_effects& effects);
    absl::Status on_settings(const peer_message& message, membership_effects& effects);

    void after_facts(const node_id& from, fact_flood::received& received,
                     membership_effects& effects);
    void on_revision_told(const node_id& from, revision told, membership_effects& effects);
    void compare_roots(const node_id& from, std::uint64_t root, membership_effects& effects);
    void refute_if_needed(membership_effects& effects);
    void raise_own_incarnation();
    void change_self();
    void sync_detector(const node_id& node);
    void run_detector(membership_effects& effects);
    void judge(const node_id& node, member_health health);
    void update_neighbours(membership_effects& effects);
    void take_settings_from_board();
    void send_heartbeats(membership_effects& effects);
    void send_heartbeat(const endpoint& to, bool answer_wanted, membership_effects& effects) const;
    void spread_loads(membership_effects& effects);
    static void send_loads(const std::vector<load_delivery>& deliveries,
                           membership_effects& effects);
    void probe(membership_effects& effects);
    void ask_settings_again(membership_effects& effects);
    void repeat_urgent();
    void publish(const fact_key& key, membership_effects& effects);
    void ask_other_domains(membership_effects& effects);
    [[nodiscard]] bool update_readiness();
    void flush(membership_effects& effects);
    void send_facts(const node_id& to, wire::facts_message message, membership_effects& effects);
    [[nodiscard]] bool is_neighbour(const node_id& node) const;
    [[nodiscard]] bool alone() const;

    mutable std::mutex mutex_;
    dependencies with_;
    membership_config config_;
    member self_;
    std::vector<endpoint> seeds_;
    fact_store store_;
    fact_flood flood_;
    failure_detector detector_;
    settings_sync settings_;
    load_spread loads_;
    std::vector<member> neighbours_;
    /// Neighbours that digests of loads go to: those that have chosen this node, or all if those
    /// are few. A node is chosen by many but chooses few, so that no node answers many digests.
    std::vector<member> digest_peers_;
    std::uint64_t neighbours_version_ = 0;
    /// Heartbeats in a row whose hash of all facts differed from the own one.
    absl::flat_hash_map<node_id, int> differing_roots_;
    /// Urgent facts that are told a second time, and when.
    std::deque<std::pair<time_point, fact_key>> repeats_;
    time_point next_heartbeat_{};
    time_point next_probe_{};
    time_point last_digest_{};
};

} // namespace jujubetide
