#include "control/peer_traffic_source.h"

#include <absl/strings/numbers.h>

// A node that does not answer counts as none of the traffic, which makes a plan more careful.

namespace jujubetide {
namespace {

constexpr millis answer_timeout{500};

} // namespace

double peer_traffic_source::do_request_rate(const service_id& service) {
    double sum = 0.0;
    for (const member& node : members_.all()) {
        if (node.role != node_role::entry || node.health != member_health::alive) {
            continue;
        }
        const auto answer = link_.call(node.peer_address, peer_message_kind::request_rate,
                                       service.str(), answer_timeout);
        double rate = 0.0;
        if (answer.ok() && absl::SimpleAtod(*answer, &rate) && rate > 0.0) {
            sum += rate;
        }
    }
    return sum;
}

} // namespace jujubetide
