#include "standins/standin_answer.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

std::string standin_answer_piece(const std::string& prompt, std::size_t index) {
    constexpr std::uint64_t word_mask = 0xffffff;
    return absl::StrCat("w", index, "-",
                        absl::Hex(stable_hash(prompt, index + 1) & word_mask, absl::kZeroPad6),
                        " ");
}

std::string standin_answer(const std::string& prompt, std::size_t count) {
    std::string answer;
    for (std::size_t i = 0; i < count; ++i) {
        answer += standin_answer_piece(prompt, i);
    }
    return answer;
}

} // namespace jujubetide
