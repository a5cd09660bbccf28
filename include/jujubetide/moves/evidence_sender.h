#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/moves/trial_version_selector.h"
#include "jujubetide/peer/peer_link.h"

#include <absl/status/status.h>

#include <string>

namespace jujubetide {

/// An entry node's part of the exchange of evidence: reports to the control node that steers the
/// move, and its answers. That node makes itself known to the entries that it does not hear from.
/// Thread-safe.
class evidence_sender {
public:
    /// All must outlive the sender.
    struct dependencies {
        trial_version_selector& selector;
        blackboard& board;
        peer_link& link;
    };

    explicit evidence_sender(dependencies parts) : parts_(parts) {}

    /// Sends a report of every move that is on; to be called once a second. Does not block.
    void send();
    /// Takes the answer of the node that steers a move. InvalidArgument for any other message.
    absl::Status receive(const peer_message& message);
    /// Answers a call of kind request_rate.
    [[nodiscard]] std::string request_rate(const peer_message& message) const;

private:
    dependencies parts_;
    /// The node that steers each service's move, as it last told.
    sharded_map<service_id, node_id> steering_;
};

} // namespace jujubetide
