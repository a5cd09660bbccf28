#include "jujubetide/routing/prompt_blocks.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>

namespace jujubetide {

std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt) {
    const std::size_t count = std::min(prompt.size() / prompt_block_bytes, max_prompt_blocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < count; ++i) {
        chained = stable_hash(prompt.substr(i * prompt_block_bytes, prompt_block_bytes), chained);
        hashes.push_back(chained);
    }
    return hashes;
}

token_count estimate_tokens(std::string_view text) {
    return token_count((text.size() + bytes_per_token - 1) / bytes_per_token);
}

} // namespace jujubetide
