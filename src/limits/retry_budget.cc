#include "jujubetide/limits/retry_budget.h"

#include <algorithm>

namespace jujubetide {

double retry_budget::share_of(double slack, std::size_t nodes) {
    // Half of the slack is left for nodes that the others do not know of.
    constexpr double used_part = 0.5;
    return std::max(1.0, slack * used_part / static_cast<double>(std::max<std::size_t>(1, nodes)));
}

void retry_budget::on_request(const service_id& service, double retry_percent) {
    buckets_.update(service, [retry_percent, max = max_.load()](bucket& own) {
        own.tokens = std::min(max, own.tokens + retry_percent / 100.0);
    });
}

bool retry_budget::try_spend(const service_id& service) {
    return buckets_.update(service, [](bucket& own) {
        if (own.tokens < 1.0) {
            return false;
        }
        own.tokens -= 1.0;
        return true;
    });
}

} // namespace jujubetide
