#pragma once

#include "node/duty_lease.h"

#include "jujubetide/node/platform_api.h"
#include "jujubetide/serving/scaling_planner.h"

#include <map>

namespace jujubetide {

/// Orders backend servers as planned while this node holds the duties. An order states the desired
/// count and is sent when it changes, or when the last one was not accepted.
class server_scaler {
public:
    /// All arguments must outlive the scaler.
    server_scaler(serving_state& state, peer_exchange& peers, duty_lease& lease,
                  platform_api& calls);

    void start();

private:
    struct order_state {
        unsigned wanted = 0;
        /// The load on which the order is based.
        service_load load;
        std::optional<unsigned> accepted_count;
        bool pending = false;
        time_point retry_at{};
    };
    void step();
    void plan(const serving_service& service, const std::map<service_id, double>& demand);
    /// The places and the memory that the service's calls in progress take.
    [[nodiscard]] service_load running_load(const serving_service& service) const;
    void send(const service_id& service, const server_group& group, order_state& order);

    serving_state& state_;
    peer_exchange& peers_;
    duty_lease& lease_;
    platform_api& calls_;
    std::map<service_id, scaling_planner> planners_;
    std::map<std::pair<service_id, server_group>, order_state> orders_;
    std::optional<time_point> lease_held_since_;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
