#include "node/table_readers.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {
namespace {

/// One reader may freeze and another be cut off without a gap in the changes.
constexpr std::ptrdiff_t max_readers = 3;

/// The lowest ranks are selected. The hash spreads the readers over failure domains, as node names
/// often follow these.
auto rank(const table_reader_candidate& candidate) {
    return std::tuple(!candidate.reaches_store, -candidate.cores,
                      stable_hash(candidate.node.str()));
}

} // namespace

bool is_among_readers(const table_reader_candidate& self,
                      std::span<const table_reader_candidate> others) {
    return std::count_if(others.begin(), others.end(), [&self](const auto& other) {
               return rank(other) < rank(self);
           }) < max_readers;
}

} // namespace jujubetide
