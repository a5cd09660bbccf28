#pragma once

#include "membership/demand_spread.h"
#include "membership/fact_messages.h"
#include "membership/load_messages.h"

#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/blackboard.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include <array>
#include <map>
#include <vector>

namespace jujubetide {

/// One message of the load spread and whom it goes to.
struct load_delivery {
    endpoint to;
    wire::loads_message message;
};

/// Spreads the backend servers' loads without flooding. Each server is watched by one node of its
/// failure domain, by rendezvous hash; the watchers report to one collector in the domain, which
/// packs a batch a second; batches go down a tree that every node computes from its member list.
/// Digests of the batches' sequence numbers repair what is lost. Not thread-safe.
class load_spread {
public:
    load_spread(backend_board& board, const member& self)
        : board_(board), self_(self), demand_(self) {}

    /// Sets who takes part: the members that are neither dead nor leaving, ordered by id.
    void set_members(std::vector<member> members);
    void set_settings(const snapshot_ptr& settings);

    /// Servers to ask: those that this node watches, and those that it is second for and whose
    /// reports have stopped. The latter only every other second, so that reports of the first
    /// watcher are seen among them once it is back.
    [[nodiscard]] std::vector<backend_server_id> watched(time_point now) const;
    /// A watched server's report. Its sequence number is replaced by one that goes on when the
    /// server or its watcher restarts.
    void report(const backend_server_id& id, load_report load, time_point now, wall_time wall_now);

    /// Once a second: the reports to the collector, or as collector the batch.
    std::vector<load_delivery> round(time_point now);
    /// Takes a message; returns the copies to pass on. InvalidArgument when it is malformed.
    absl::StatusOr<std::vector<load_delivery>>
    receive(const node_id& from, const wire::loads_message& message, time_point now);

    /// Customers' demand, which goes along with the loads.
    [[nodiscard]] demand_spread& demand() { return demand_; }
    [[nodiscard]] const demand_spread& demand() const { return demand_; }

    [[nodiscard]] std::vector<wire::load_stream_record> digest() const;
    /// What the teller of a digest lacks, packed into one message for each stream.
    [[nodiscard]] std::vector<wire::loads_message>
    missing(const std::vector<wire::load_stream_record>& told, time_point now) const;

private:
    static constexpr std::size_t kept_batches = 8;

    struct server_state {
        backend_server_id id;
        load_report load;
        /// Last report of another watcher.
        time_point heard{};
        /// This node's last report.
        time_point reported{};
        /// Sequence numbers of this node's last reports, to know them when they come back.
        std::array<std::uint64_t, 8> own_sequences{};
        /// For the watcher and the collector: what was last sent, and when.
        time_point sent{};
        time_point details_sent{};
        /// Whether the last report to the collector has come back in a batch.
        bool echoed = true;
        std::uint64_t sent_sequence = 0;
        bool has_load = false;
        bool has_details = false;
        bool changed = false;
        bool details_changed = false;
    };
    struct batch {
        wire::loads_message message;
        time_point received{};
    };
    struct stream {
        std::uint64_t newest = 0;
        std::uint32_t mask = 0;
        std::map<std::uint64_t, batch> batches;
        time_point received{};
    };

    void choose_duties();
    [[nodiscard]] std::size_t rank_of_self(const backend_server_settings& server) const;
    void choose_collectors();
    [[nodiscard]] std::vector<endpoint> children(const std::string& root);
    /// The members in the order of the tree's places, the root first; empty when it is unknown.
    const std::vector<std::size_t>& tree_order(const std::string& root);
    wire::loads_message take_changed(bool as_collector, time_point now);
    void apply(const wire::loads_message& message, time_point now);
    void apply(server_state& state, const load_report& load, time_point now);
    void apply_demand(const wire::loads_message& message, time_point now);
    void mark_reported(const wire::loads_message& message);
    bool remember(const wire::loads_message& message, time_point now);
    [[nodiscard]] wire::loads_message merge_missing(const stream& from,
                                                    std::uint32_t lacking) const;
    void drop_old(time_point now);

    backend_board& board_;
    member self_;
    demand_spread demand_;
    std::vector<member> members_;
    /// Hashes of the members' ids, all and by failure domain.
    std::vector<std::uint64_t> node_hashes_;
    absl::flat_hash_map<failure_domain_id, std::vector<std::uint64_t>> domain_hashes_;
    /// Each failure domain's collector, as an index into `members_`.
    std::map<failure_domain_id, std::size_t> collectors_;
    /// By root, until the members change.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> tree_orders_;
    snapshot_ptr settings_;
    /// By hash of the server's id; servers whose hashes collide are left out.
    std::map<std::uint32_t, server_state> servers_;
    std::vector<std::uint32_t> first_duties_;
    std::vector<std::uint32_t> second_duties_;
    std::uint64_t own_sequence_ = 0;
    /// Ordered, so that the same events give the same messages in every process.
    std::map<std::uint64_t, stream> streams_;
};

} // namespace jujubetide
