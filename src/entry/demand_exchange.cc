#include "entry/demand_exchange.h"

namespace jujubetide {

void demand_exchange::exchange() {
    const time_point now = time_.now();
    membership_.set_own_demand(limits_.own_demand(now));
    limits_.set_remote_demand(membership_.demand_of_others(), now);
}

} // namespace jujubetide
