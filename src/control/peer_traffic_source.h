#pragma once

#include "control/traffic_source.h"

#include "jujubetide/blackboard/member_board.h"
#include "jujubetide/peer/peer_link.h"

namespace jujubetide {

/// Asks every entry node that is not known to be dead, one after the other, for an operator's call.
class peer_traffic_source final : public traffic_source {
public:
    /// Both must outlive the source.
    peer_traffic_source(const member_board& members, peer_link& link)
        : members_(members), link_(link) {}

protected:
    double do_request_rate(const service_id& service) override;

private:
    const member_board& members_;
    peer_link& link_;
};

} // namespace jujubetide
