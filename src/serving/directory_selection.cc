#include "jujubetide/serving/directory_selection.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {

std::vector<endpoint> select_for_directory(std::vector<directory_entry> entries,
                                           const failure_domain_id& caller_domain,
                                           std::size_t max) {
    if (entries.size() > max) {
        const auto rank = [&caller_domain](const directory_entry& entry) {
            return std::tuple(-entry.cores,
                              rendezvous_weight(caller_domain.str(), entry.caller_address.str()));
        };
        std::sort(entries.begin(), entries.end(),
                  [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        entries.resize(max);
    }
    std::vector<endpoint> chosen;
    chosen.reserve(entries.size());
    for (const directory_entry& entry : entries) {
        chosen.push_back(entry.caller_address);
    }
    return chosen;
}

} // namespace jujubetide
