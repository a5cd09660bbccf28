#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_publisher.h"

namespace jujubetide {

/// Writes facts to the own blackboard only; for a node that has no peers. Thread-safe.
class local_facts final : public fact_publisher {
public:
    /// `boards` must outlive the publisher.
    local_facts(blackboard& boards, node_id self) : boards_(boards), self_(std::move(self)) {}

protected:
    void do_leaving_host(const host_id& host) override { boards_.backends.mark_leaving(host); }
    void do_move(const version_move& record) override { boards_.moves.merge(record); }
    void do_settings(const snapshot_ptr& snapshot) override { boards_.settings.offer(snapshot); }
    void do_leaving_self() override {
        if (auto record = boards_.members.find(self_)) {
            record->leaving = true;
            boards_.members.merge(*record);
        }
    }

private:
    blackboard& boards_;
    node_id self_;
};

} // namespace jujubetide
