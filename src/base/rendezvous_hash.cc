#include "jujubetide/base/rendezvous_hash.h"

#include <xxhash.h>

namespace jujubetide {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    return rendezvous_weight(stable_hash(key), stable_hash(candidate));
}

std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t candidate_hash) {
    return XXH3_64bits_withSeed(&candidate_hash, sizeof candidate_hash, key_hash);
}

} // namespace jujubetide
