#pragma once

#include "jujubetide/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jujubetide {

/// Bytes of prompt text in one prefix-cache block.
inline constexpr std::size_t prompt_block_bytes = 256;
/// Leading blocks of a prompt that routing looks at.
inline constexpr std::size_t max_prompt_blocks = 512;
/// Bytes of prompt text counted as one token where only the text is known.
inline constexpr std::size_t bytes_per_token = 4;

/// Hashes of the prompt's leading whole blocks; the n-th covers blocks 0 to n.
std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt);
/// Estimated tokens of a text.
token_count estimate_tokens(std::string_view text);

} // namespace jujubetide
