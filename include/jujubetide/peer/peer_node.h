#pragma once

#include "jujubetide/base/timer_service.h"
#include "jujubetide/membership/membership_node.h"
#include "jujubetide/membership/snapshot_builder.h"
#include "jujubetide/peer/peer_link.h"
#include "jujubetide/settings/process_settings.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>

namespace jujubetide {

/// The membership of one real process: a membership node on a peer link and a timer.
///
/// Wiring in a program's main:
///
///     auto link = nghttp2_peer_link::make(settings.peer_listen, settings.node);
///     node_process process("program");
///     auto node = process.make_node(settings, node_role::entry, public_address, **link);
///     ... set the handlers of other kinds on the link, before `start` ...
///     (*node)->start();
///     ... serve once a snapshot is in force: from the table, or, while that is down, once
///         `settings_ready()` holds ...
///     publisher = &(*node)->publisher();
///     on a planned stop: publisher->leaving_self(); drain; destroy the node; destroy the link
///
/// `settings.peer_listen` must name the address that peers connect to; with port 0, pass the link's
/// `listening()` in it. Everything passed in must outlive the node, and the link's handlers are
/// stopped (`nghttp2_peer_link::stop`) before the node is destroyed.
class peer_node {
public:
    static absl::StatusOr<std::unique_ptr<peer_node>>
    make(const process_settings& settings, node_role role, const endpoint& public_address,
         blackboard& board, peer_link& link, timer_service& timers, const clock& time,
         random_source& random, const snapshot_builder& builder, log_sink& log);
    ~peer_node();
    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;

    /// Begins to ask the seeds and to answer peers.
    void start();

    [[nodiscard]] fact_publisher& publisher() { return *membership_; }
    [[nodiscard]] membership_node& membership() { return *membership_; }
    /// Whether a fresh node may serve with settings from peers.
    [[nodiscard]] bool settings_ready();

private:
    class link_sender;

    peer_node(peer_link& link, timer_service& timers, log_sink& log);

    peer_link& link_;
    timer_service& timers_;
    log_sink& log_;
    std::unique_ptr<link_sender> sender_;
    std::unique_ptr<membership_node> membership_;
    std::atomic<bool> ready_logged_{false};
    std::unique_ptr<timer_subscription> tick_;
};

} // namespace jujubetide
