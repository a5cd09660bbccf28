#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_publisher.h"

namespace jujubetide {

/// Writes facts to the own blackboard only, for a process without peers.
class own_facts final : public fact_publisher {
public:
    explicit own_facts(blackboard& boards) : boards_(boards) {}

protected:
    void do_leaving_host(const host_id& host) override { boards_.backends.mark_leaving(host); }
    void do_move(const version_move& record) override { boards_.moves.merge(record); }
    void do_settings(const snapshot_ptr& snapshot) override { boards_.settings.offer(snapshot); }
    void do_leaving_self() override {}

private:
    blackboard& boards_;
};

} // namespace jujubetide
