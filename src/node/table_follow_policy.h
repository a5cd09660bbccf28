#pragma once

#include "node/peer_exchange.h"

#include <vector>

namespace jujubetide {

/// Decides which of the store's tables this node follows itself. Each node follows the
/// configuration table; the tables that change often are followed by a few nodes, the table
/// readers, and by all nodes that hear no table reader.
class table_follow_policy {
public:
    /// The arguments must outlive the policy. Each node uses `config_follower`; only those that
    /// follow the tables themselves use `shared_followers`.
    table_follow_policy(serving_state& state, peer_exchange& peers, table_follower& config_follower,
                        std::vector<table_follower*> shared_followers);

    void start();

private:
    void update();
    void set_following(bool is_following);

    serving_state& state_;
    peer_exchange& peers_;
    table_follower& config_follower_;
    std::vector<table_follower*> shared_followers_;
    time_point started_{};
    bool is_following_ = false;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
