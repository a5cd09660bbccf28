#pragma once

#include <cstddef>
#include <string>

namespace jujubetide {

/// Piece `index` of the answer that every engine stand-in gives to `prompt`.
std::string standin_answer_piece(const std::string& prompt, std::size_t index);
/// The pieces from 0 to `count` - 1, joined.
std::string standin_answer(const std::string& prompt, std::size_t count);

} // namespace jujubetide
