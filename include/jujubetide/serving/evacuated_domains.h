#pragma once

#include "jujubetide/base/ids.h"

#include <cstddef>
#include <set>
#include <vector>

namespace jujubetide {

/// The failure domains whose backend servers get no calls, by order of the operators. Not
/// thread-safe.
class evacuated_domains {
public:
    /// Both return whether that was not known.
    bool begin(const failure_domain_id& domain) { return domains_.insert(domain).second; }
    bool end(const failure_domain_id& domain) { return domains_.erase(domain) > 0; }
    /// The known domains that are not in `ordered`.
    [[nodiscard]] std::vector<failure_domain_id>
    missing_from(const std::set<failure_domain_id>& ordered) const;

    [[nodiscard]] bool contains(const failure_domain_id& domain) const {
        return domains_.contains(domain);
    }
    [[nodiscard]] const std::set<failure_domain_id>& all() const { return domains_; }

private:
    std::set<failure_domain_id> domains_;
};

} // namespace jujubetide
