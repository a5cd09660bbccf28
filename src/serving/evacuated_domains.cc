#include "jujubetide/serving/evacuated_domains.h"

#include <algorithm>
#include <iterator>

namespace jujubetide {

std::vector<failure_domain_id>
evacuated_domains::missing_from(const std::set<failure_domain_id>& ordered) const {
    std::vector<failure_domain_id> missing;
    std::set_difference(domains_.begin(), domains_.end(), ordered.begin(), ordered.end(),
                        std::back_inserter(missing));
    return missing;
}

} // namespace jujubetide
