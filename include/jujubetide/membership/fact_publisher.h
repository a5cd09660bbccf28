#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/blackboard/move_board.h"
#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

/// Writes facts to the own blackboard and spreads them to all nodes. Thread-safe; calls do not
/// block on the network.
class fact_publisher {
public:
    virtual ~fact_publisher() = default;

    /// The host will be taken back; nothing on it gets new work.
    void leaving_host(const host_id& host) { do_leaving_host(host); }
    /// A new record of a version move.
    void move(const version_move& record) { do_move(record); }
    /// Newer settings, read from the table or accepted there.
    void settings(const snapshot_ptr& snapshot) { do_settings(snapshot); }
    /// This node stops: peers and callers must not choose it any more.
    void leaving_self() { do_leaving_self(); }

protected:
    fact_publisher() = default;
    fact_publisher(const fact_publisher&) = default;
    fact_publisher& operator=(const fact_publisher&) = default;
    virtual void do_leaving_host(const host_id& host) = 0;
    virtual void do_move(const version_move& record) = 0;
    virtual void do_settings(const snapshot_ptr& snapshot) = 0;
    virtual void do_leaving_self() = 0;
};

} // namespace jujubetide
