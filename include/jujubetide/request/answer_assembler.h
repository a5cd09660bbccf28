#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/ids.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace jujubetide {

/// What a piece turned out to be when it was checked.
enum class piece_verdict {
    /// New; it and those that waited for it were appended to `pieces()`.
    accepted,
    /// Ahead of a missing piece; kept until that comes.
    early,
    /// Seen before with the same text; dropped.
    repeated,
    /// Of another attempt; dropped.
    foreign,
    /// Contradicts a piece seen before, or too far ahead: the attempt cannot be trusted.
    conflicting,
};

/// Puts the pieces of one answer in order, over all attempts of its request. A piece counts once,
/// whatever repeats, delays or other attempts' pieces the engines send.
class answer_assembler {
public:
    /// Pieces that may wait for a missing one.
    static constexpr std::size_t max_early_pieces = 64;

    answer_assembler() = default;
    /// Goes on after `pieces`, which the caller has been given or will be.
    explicit answer_assembler(std::vector<std::string> pieces) : pieces_(std::move(pieces)) {}

    /// Checks a piece against the attempt that runs now.
    piece_verdict add(const engine_piece& piece, const attempt_id& current);
    /// Forgets the pieces that wait for a missing one; called when an attempt ends.
    void drop_early() { early_.clear(); }

    /// Offset of the next piece.
    [[nodiscard]] piece_offset next() const {
        return piece_offset(static_cast<std::uint32_t>(pieces_.size()));
    }
    /// Whether an answer with `total` pieces is complete.
    [[nodiscard]] bool is_whole(piece_offset total) const {
        return early_.empty() && total == next();
    }
    [[nodiscard]] const std::vector<std::string>& pieces() const { return pieces_; }
    /// The text so far.
    [[nodiscard]] std::string text() const;

private:
    piece_verdict add_early(const engine_piece& piece);
    void take_ready();

    std::vector<std::string> pieces_;
    std::map<std::uint32_t, std::string> early_;
};

} // namespace jujubetide
