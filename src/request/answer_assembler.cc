#include "jujubetide/request/answer_assembler.h"

#include <numeric>

namespace jujubetide {

piece_verdict answer_assembler::add(const engine_piece& piece, const attempt_id& current) {
    if (piece.attempt != current) {
        return piece_verdict::foreign;
    }
    if (piece.offset > next()) {
        return add_early(piece);
    }
    if (piece.offset < next()) {
        const bool same = pieces_[piece.offset.value()] == piece.text;
        return same ? piece_verdict::repeated : piece_verdict::conflicting;
    }
    pieces_.push_back(piece.text);
    take_ready();
    return piece_verdict::accepted;
}

piece_verdict answer_assembler::add_early(const engine_piece& piece) {
    const auto found = early_.find(piece.offset.value());
    if (found != early_.end()) {
        return found->second == piece.text ? piece_verdict::repeated : piece_verdict::conflicting;
    }
    if (early_.size() >= max_early_pieces) {
        return piece_verdict::conflicting;
    }
    early_.emplace(piece.offset.value(), piece.text);
    return piece_verdict::early;
}

void answer_assembler::take_ready() {
    for (auto first = early_.begin(); first != early_.end() && first->first == next().value();
         first = early_.begin()) {
        pieces_.push_back(std::move(first->second));
        early_.erase(first);
    }
}

std::string answer_assembler::text() const {
    return std::accumulate(pieces_.begin(), pieces_.end(), std::string());
}

} // namespace jujubetide
