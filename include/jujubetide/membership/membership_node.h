#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/limits/customer_demand.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/membership/failure_detector.h"
#include "jujubetide/membership/message_sender.h"
#include "jujubetide/membership/snapshot_builder.h"

#include <absl/status/status.h>

#include <memory>
#include <vector>

namespace jujubetide {

struct membership_config {
    micros heartbeat_period{1'000'000};
    /// How often a node that knows others asks one seed or dead member whether it is back.
    micros probe_period{10'000'000};
    failure_detector_limits failures;
    /// Failure domains whose peers must have told their revision before a fresh node serves.
    std::size_t settings_domains = 3;
};

/// One node's part in the membership: neighbours, failure detection, flooded facts, settings and
/// backend servers' loads. Events in, messages out; time and chance are passed in. Thread-safe;
/// calls to the sender, the builder and the settings board are made outside of its lock.
class membership_node final : public fact_publisher {
public:
    /// What the node uses; all must outlive it.
    struct dependencies {
        blackboard& board;
        message_sender& sender;
        const clock& time;
        random_source& random;
        const snapshot_builder& builder;
        log_sink& log;
    };

    /// How often `on_tick` is to be called.
    static constexpr micros tick_period{200'000};

    /// `self.at` should be higher than in the node's earlier runs, such as the start's civil time;
    /// the node goes above what peers remember of it. `seeds` are asked first.
    membership_node(const member& self, std::vector<endpoint> seeds, const dependencies& with,
                    const membership_config& config = {});
    ~membership_node() override;
    membership_node(const membership_node&) = delete;
    membership_node& operator=(const membership_node&) = delete;

    /// Takes a message of kind `heartbeat`, `facts`, `loads`, `digest` or `settings_fetch`.
    /// InvalidArgument when it is malformed.
    absl::Status on_message(const peer_message& message);
    void on_tick();

    [[nodiscard]] node_id self() const;
    [[nodiscard]] std::vector<node_id> neighbours() const;
    /// Whether the settings are as new as those of peers in several failure domains, or in as many
    /// as there are besides the own one; a fresh node serves only then. Once true, it stays.
    [[nodiscard]] bool settings_ready();

    /// Backend servers whose load this node asks for, about once a second each.
    [[nodiscard]] std::vector<backend_server_id> watched_servers() const;
    /// A load report that a watched backend server gave; spreads to all nodes within seconds.
    void report_load(const backend_server_id& id, const load_report& load);

    /// The customers' demand at this node, to be set about once a second; others forget it when it
    /// is not set again.
    void set_own_demand(const std::vector<customer_demand>& demand);
    /// The customers' demand at all other nodes together, a few seconds old.
    [[nodiscard]] std::vector<customer_demand> demand_of_others() const;

protected:
    void do_leaving_host(const host_id& host) override;
    void do_move(const version_move& record) override;
    void do_settings(const snapshot_ptr& snapshot) override;
    void do_leaving_self() override;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace jujubetide
