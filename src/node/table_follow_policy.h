#pragma once

#include "node/peer_exchange.h"

#include <vector>

namespace jujubetide {

/// Decides which of the store's tables this node follows itself. Each node follows the
/// configuration; the tables that change often are followed by a few nodes, and by all that hear
/// none of these.
class table_follow_policy {
public:
    /// What is passed in must outlive the feeds. `always` is followed by each node.
    table_follow_policy(serving_state& state, peer_exchange& peers, table_follower& always,
                        std::vector<table_follower*> shared);

    void start();

private:
    void look();
    void set_following(bool follows);

    serving_state& state_;
    peer_exchange& peers_;
    table_follower& always_;
    std::vector<table_follower*> shared_;
    time_point started_{};
    bool follows_ = false;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
