#include "jujubetide/limits/retry_budget.h"

#include <algorithm>

namespace jujubetide {

void retry_budget::on_request(const service_id& service, double retry_percent) {
    buckets_.update(service, [retry_percent](bucket& own) {
        own.tokens = std::min(max_tokens, own.tokens + retry_percent / 100.0);
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
