#include "standins/standin_engine_stream.h"

#include "standins/standin_answer.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace jujubetide {

namespace {

/// A stall without an end.
constexpr millis long_stall{3'600'000};

} // namespace

standin_engine_stream::standin_engine_stream(parts answer, standin_engine_scheduler& scheduler,
                                             standin_engine_faults& faults)
    : answer_(std::move(answer)), scheduler_(scheduler),
      end_early_(faults.take(engine_fault::end_early)), stall_(faults.take(engine_fault::stall)),
      repeat_(faults.take(engine_fault::repeat_piece)),
      cross_(faults.take(engine_fault::cross_pieces)), skip_(faults.take(engine_fault::skip_piece)),
      wrong_attempt_(faults.take(engine_fault::wrong_attempt)),
      late_(faults.take(engine_fault::late_pieces)), tear_(faults.take(engine_fault::tear_piece)) {
    plan_order();
}

bool standin_engine_stream::meets(const std::optional<engine_fault_plan>& fault,
                                  std::size_t index) const {
    // A piece past the end of the answer stands for its last one.
    return fault && index == std::min(fault->at_piece, offsets_.size() - 1);
}

void standin_engine_stream::plan_order() {
    for (std::uint32_t offset = answer_.request.start.value(); offset < answer_.total; ++offset) {
        offsets_.push_back(offset);
    }
    for (std::size_t index = 0; index + 1 < offsets_.size(); ++index) {
        if (meets(cross_, index)) {
            std::swap(offsets_[index], offsets_[index + 1]);
            break;
        }
    }
    for (std::size_t index = 0; index < offsets_.size(); ++index) {
        if (meets(repeat_, index)) {
            offsets_.insert(offsets_.begin() + static_cast<std::ptrdiff_t>(index), offsets_[index]);
            break;
        }
    }
    for (std::size_t index = 0; index < offsets_.size(); ++index) {
        if (meets(skip_, index)) {
            offsets_.erase(offsets_.begin() + static_cast<std::ptrdiff_t>(index));
            break;
        }
    }
}

bool standin_engine_stream::wait_before(std::size_t index) {
    millis delay = index == 0 ? answer_.first_piece : answer_.between_pieces;
    if (late_ && index >= late_->at_piece) {
        delay += late_->delay;
    }
    if (meets(stall_, index)) {
        delay += stall_->delay == millis{0} ? long_stall : stall_->delay;
    }
    return scheduler_.wait(answer_.request.attempt, delay);
}

std::string standin_engine_stream::piece_event(std::size_t index) const {
    const std::uint32_t offset = offsets_[index];
    const bool wrong = wrong_attempt_ && index >= wrong_attempt_->at_piece;
    const nlohmann::json data{
        {"attempt_id", wrong ? "another-attempt" : answer_.request.attempt.str()},
        {"offset", offset},
        {"text", standin_answer_piece(answer_.request.prompt, offset)}};
    return absl::StrCat("id: ", offset, "\ndata: ", data.dump(), "\n\n");
}

std::string standin_engine_stream::end_event() const {
    const nlohmann::json data{{"attempt_id", answer_.request.attempt.str()},
                              {"total", answer_.total},
                              {"finish_reason", answer_.finish_reason},
                              {"prompt_tokens", answer_.prompt_tokens.value()},
                              {"cached_tokens", answer_.cached_tokens.value()}};
    return absl::StrCat("event: end\ndata: ", data.dump(), "\n\n");
}

standin_engine_stream::ending standin_engine_stream::run(const writer& write) {
    for (std::size_t index = 0; index < offsets_.size(); ++index) {
        if (!wait_before(index)) {
            return ending::torn;
        }
        if (meets(end_early_, index)) {
            return ending::clean;
        }
        const std::string event = piece_event(index);
        if (meets(tear_, index)) {
            write(event.substr(0, event.size() / 2));
            return ending::torn;
        }
        if (!write(event)) {
            return ending::torn;
        }
    }
    return write(end_event()) ? ending::clean : ending::torn;
}

} // namespace jujubetide
