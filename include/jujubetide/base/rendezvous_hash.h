#pragma once

#include <cstdint>
#include <string_view>

namespace jujubetide {

/// 64-bit hash of `bytes`, the same on every host and release.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Weight of `candidate` for `key`: the candidate with the highest weight owns the key, and
/// removing a candidate moves only the keys that it owned.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);
/// As above, for a key already hashed with `stable_hash`.
std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t candidate_hash);

} // namespace jujubetide
