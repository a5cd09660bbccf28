#include "jujubetide/serving/directory_selection.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {

std::vector<endpoint> select_for_directory(std::vector<directory_entry> entries,
                                           const failure_domain_id& asker, std::size_t max) {
    if (entries.size() > max) {
        const auto rank = [&asker](const directory_entry& one) {
            return std::tuple(-one.cores, rendezvous_weight(asker.str(), one.callers.str()));
        };
        std::sort(entries.begin(), entries.end(),
                  [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
        entries.resize(max);
    }
    std::vector<endpoint> chosen;
    chosen.reserve(entries.size());
    for (const directory_entry& one : entries) {
        chosen.push_back(one.callers);
    }
    return chosen;
}

} // namespace jujubetide
