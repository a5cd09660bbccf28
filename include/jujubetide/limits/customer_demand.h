#pragma once

#include "jujubetide/base/ids.h"

namespace jujubetide {

/// A customer's recent work at one service, as nodes tell each other.
struct customer_demand {
    service_id service;
    customer_id customer;
    double share = 1.0;
    /// Recent work in tokens a second.
    double tokens_per_second = 0.0;
};

} // namespace jujubetide
