#include "node/table_readers.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <tuple>

namespace jujubetide {
namespace {

/// Enough that one may freeze and another be cut off without a gap.
constexpr std::ptrdiff_t max_readers = 3;

/// Lower goes first. The hash spreads the readers over failure domains, which names often follow.
auto rank(const table_reader_candidate& one) {
    return std::tuple(!one.reaches_store, -one.cores, stable_hash(one.node.str()));
}

} // namespace

bool is_among_readers(const table_reader_candidate& self,
                      std::span<const table_reader_candidate> others) {
    return std::count_if(others.begin(), others.end(), [&self](const auto& other) {
               return rank(other) < rank(self);
           }) < max_readers;
}

} // namespace jujubetide
