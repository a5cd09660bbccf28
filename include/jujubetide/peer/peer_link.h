#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujubetide {

/// Kinds of messages between nodes. Values are part of the protocol and never reused.
enum class peer_message_kind : std::uint8_t {
    /// Member records, one way.
    heartbeat = 1,
    /// Flooded facts: leaving hosts, taken-back versions, members, settings revisions; one way.
    facts = 2,
    /// Batches of backend server loads, one way.
    loads = 3,
    /// Sequence numbers known, answered by what the asker lacks.
    digest = 4,
    /// Settings from a revision on, answered by the documents.
    settings_fetch = 5,
    /// A request handed over, answered when the receiver has taken it.
    handover = 6,
    /// Prefix hashes that moved between caches, one way.
    cache_events = 7,
    /// Customers' demand at a node, one way.
    demand = 8,
    /// Asks where a handed-over request is now.
    request_lookup = 9,
    /// Outcome counts of a version move, one way, to the node that steers the move.
    move_evidence = 10,
    /// A service's id, answered by its requests in a second at the node.
    request_rate = 11,
};

struct peer_message {
    node_id from;
    peer_message_kind kind = peer_message_kind::heartbeat;
    /// Encoded by the subsystem that owns the kind.
    std::string body;
};

/// Bytes of frames that carried one kind of messages and their answers. A message is a request;
/// answers count as bytes only.
struct peer_traffic {
    peer_message_kind kind = peer_message_kind::heartbeat;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
};

/// Carries messages between the processes of the system. Thread-safe.
class peer_link {
public:
    /// Answers a call, or returns "" for one-way messages. Runs on a worker thread and may block.
    using handler = std::function<absl::StatusOr<std::string>(const peer_message&)>;

    virtual ~peer_link() = default;

    /// Queues a one-way message; it may be lost. Unavailable when the queue to the peer is full.
    absl::Status send(const endpoint& peer, peer_message_kind kind, std::string body) {
        return do_send(peer, kind, std::move(body));
    }
    /// Sends and waits for the answer. Unavailable: not delivered; DeadlineExceeded: unknown.
    [[nodiscard]] absl::StatusOr<std::string> call(const endpoint& peer, peer_message_kind kind,
                                                   std::string body, millis timeout) {
        return do_call(peer, kind, std::move(body), timeout);
    }
    /// Sets who receives a kind; set before messages arrive.
    void set_handler(peer_message_kind kind, handler function) {
        do_set_handler(kind, std::move(function));
    }
    /// One entry for each kind that has been sent or received.
    [[nodiscard]] std::vector<peer_traffic> traffic() const { return do_traffic(); }

protected:
    peer_link() = default;
    peer_link(const peer_link&) = default;
    peer_link& operator=(const peer_link&) = default;
    virtual absl::Status do_send(const endpoint& peer, peer_message_kind kind,
                                 std::string body) = 0;
    virtual absl::StatusOr<std::string> do_call(const endpoint& peer, peer_message_kind kind,
                                                std::string body, millis timeout) = 0;
    virtual void do_set_handler(peer_message_kind kind, handler function) = 0;
    /// Of a link that counts nothing: none.
    [[nodiscard]] virtual std::vector<peer_traffic> do_traffic() const { return {}; }
};

} // namespace jujubetide
