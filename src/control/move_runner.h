#pragma once

#include "control/move_store.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/lease/lease_keeper.h"
#include "jujubetide/membership/fact_publisher.h"
#include "jujubetide/moves/move_controller.h"
#include "jujubetide/peer/peer_link.h"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jujubetide {

/// Steers the version moves of all services while this process holds the moves' lease, and records
/// take-backs of any node also without it. Thread-safe.
class move_runner {
public:
    /// All must outlive the runner.
    struct dependencies {
        blackboard& board;
        move_store& moves;
        fact_publisher& facts;
        peer_link& link;
        lease_keeper& lease;
        const clock& time;
        log_sink& log;
    };

    move_runner(node_id self, dependencies parts) : self_(std::move(self)), parts_(parts) {}

    /// Renews the lease where it is due and takes the next step of each move; to be called once a
    /// second on one thread. Blocks on the table.
    void step();
    /// Takes an entry node's report, and answers it under the lease. InvalidArgument for any other
    /// message. Does not block.
    absl::Status receive(const peer_message& message);

private:
    void step_move(const stored_move& stored);
    void record_stop(const stored_move& stored);
    void apply(const stored_move& stored, const move_action& action);
    void publish_stop(const version_move& move, const std::string& evidence);
    absl::Status write(const stored_move& stored, const version_move& after);
    [[nodiscard]] move_controller& controller_of(const version_move& move);
    [[nodiscard]] std::vector<node_id> live_entries() const;
    /// Tells an entry node that this node steers the move, or answers its report.
    void tell_entry(const node_id& entry, const version_move& move,
                    std::optional<time_point> sent_at);
    void read_rows();

    node_id self_;
    dependencies parts_;
    time_point last_read_{};
    /// The rows as last read; used while the table is down.
    std::vector<stored_move> rows_;
    std::mutex mutex_;
    std::map<service_id, std::unique_ptr<move_controller>> controllers_;
};

} // namespace jujubetide
