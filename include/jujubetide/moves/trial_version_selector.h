#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/moves/move_evidence.h"
#include "jujubetide/moves/move_tests.h"
#include "jujubetide/moves/request_meter.h"
#include "jujubetide/moves/version_selector.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace jujubetide {

/// Chooses versions by the share of a move that is on, keeps this node's evidence and takes a
/// version back at this node's own clear fault. Thread-safe; state in shards by service.
class trial_version_selector final : public version_selector {
public:
    /// The dependencies must outlive the selector.
    struct dependencies {
        blackboard& board;
        const clock& time;
        fact_publisher& publisher;
    };

    trial_version_selector(evidence_owner self, dependencies parts);

    /// The candidates without those servers of a version under trial that its share does not need,
    /// so that the others run at full load. All nodes keep the same servers.
    [[nodiscard]] std::vector<const backend_server_settings*>
    trial_servers(const service_id& service,
                  std::span<const backend_server_settings* const> candidates) const;

    /// This node's evidence of the move of a service, for the node that steers it: the last closed
    /// windows and the current one. Empty while no move is known or its end is recorded.
    [[nodiscard]] std::optional<evidence_report> report(const service_id& service) const;

    /// The node that steers the move answered a report that was sent at `sent_at`; it knows the
    /// move at `step`. Only while such an answer is fresh does this node send to the version under
    /// trial, so that a node cut off from the others stops by itself.
    void confirm(const service_id& service, const move_id& move, sequence_number step,
                 time_point sent_at);

    /// Requests of the service at this node in a second, attempts of retries counted too.
    [[nodiscard]] double request_rate(const service_id& service) const {
        return meter_.rate(service, parts_.time.now());
    }

protected:
    version_id do_select(const service_settings& service, const route_id& route,
                         const request_id& request) override;
    void do_record(const version_outcome& outcome) override;
    [[nodiscard]] std::vector<const backend_server_settings*>
    do_servers(const service_id& service,
               std::span<const backend_server_settings* const> candidates) const override;

private:
    /// Evidence of one move at this node.
    struct trial_state {
        move_id move;
        std::size_t routes = 1;
        /// Until when this node may send to the version under trial.
        time_point permitted_until{};
        /// Requests that the version may still get ahead of its share.
        double credit = 0.0;
        move_evidence evidence;
        std::shared_ptr<move_tests> tests;
        /// The first window that is not tested yet; unset before the first outcome.
        std::optional<move_window> next_to_test;
    };

    bool within_share(const service_settings& service, const version_move& move,
                      const request_id& request);
    static void follow(trial_state& state, const version_move& move);
    /// Failures there come from the reclaim, not from the version.
    [[nodiscard]] bool runs_on_leaving_host(const backend_server_id& server) const;
    std::optional<move_fault> test_closed_windows(trial_state& state, move_window current) const;
    void take_back(const version_move& move, const move_fault& fault);

    evidence_owner self_;
    dependencies parts_;
    request_meter meter_;
    sharded_map<service_id, trial_state> trials_;
};

} // namespace jujubetide
