// A piece is handed on as the engine sent it, with the attempt that it names: the receiver finds
// late and crossed pieces. Only the end mark of this very attempt makes an answer whole.
#include "backend/engine_run.h"

#include "jujubetide/http/refusal.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace jujubetide {
namespace {

constexpr std::size_t max_event_bytes = 256U << 10U;
constexpr std::size_t max_refusal_bytes = 64U << 10U;
constexpr int status_ok = 200;

engine_result interrupted(std::string error) {
    engine_result result;
    result.error = std::move(error);
    return result;
}

engine_result cancelled() {
    engine_result result;
    result.outcome = engine_outcome::cancelled;
    return result;
}

engine_result not_run(std::string error, millis retry_after) {
    engine_result result;
    result.outcome = engine_outcome::not_run;
    result.retry_after = retry_after;
    result.error = std::move(error);
    return result;
}

engine_piece read_piece(const nlohmann::json& body) {
    return {attempt_id(body.at("attempt_id").get<std::string>()),
            piece_offset(body.at("offset").get<std::uint32_t>()),
            body.at("text").get<std::string>()};
}

} // namespace

engine_run::engine_run(const engine_request& request, engine_receiver& receiver)
    : request_(request), receiver_(receiver), parser_(max_event_bytes) {}

engine_result engine_run::result(const absl::Status& ended, int status) const {
    return settled_ ? *settled_ : without_end(ended, status);
}

bool engine_run::do_on_bytes(int status, std::string_view bytes) {
    if (status != status_ok) {
        refusal_.append(bytes.substr(0, max_refusal_bytes - refusal_.size()));
        return true;
    }
    const auto events = parser_.feed(bytes);
    if (!events.ok()) {
        settle(interrupted(std::string(events.status().message())));
        return false;
    }
    for (const sse_event& event : *events) {
        if (!settled_) {
            take_event(event);
        }
    }
    return !settled_;
}

bool engine_run::do_on_tick() {
    // Bytes without a piece, such as comments that keep the stream open, are idle time too.
    if (!settled_ && !std::exchange(piece_came_, false) && !receiver_.on_idle()) {
        settle(cancelled());
    }
    return !settled_;
}

void engine_run::take_event(const sse_event& event) {
    if (event.name == "end") {
        take_end(event.data);
    } else if (event.name.empty()) {
        take_piece(event.data);
    }
}

void engine_run::take_piece(const std::string& data) {
    engine_piece piece;
    try {
        piece = read_piece(nlohmann::json::parse(data));
    } catch (const nlohmann::json::exception& error) {
        settle(interrupted(absl::StrCat("unreadable piece: ", error.what())));
        return;
    }
    piece_came_ = true;
    if (!receiver_.on_piece(piece)) {
        settle(cancelled());
    }
}

void engine_run::take_end(const std::string& data) {
    engine_result result;
    try {
        const auto body = nlohmann::json::parse(data);
        if (body.at("attempt_id").get<std::string>() != request_.attempt.str()) {
            settle(interrupted("the end mark belongs to another attempt"));
            return;
        }
        result.total = piece_offset(body.at("total").get<std::uint32_t>());
        result.finish_reason = body.at("finish_reason").get<std::string>();
        result.prompt_tokens = token_count(body.at("prompt_tokens").get<std::uint64_t>());
        result.cached_tokens = token_count(body.at("cached_tokens").get<std::uint64_t>());
    } catch (const nlohmann::json::exception& error) {
        settle(interrupted(absl::StrCat("unreadable end mark: ", error.what())));
        return;
    }
    result.outcome = engine_outcome::completed;
    settle(std::move(result));
}

void engine_run::settle(engine_result result) {
    settled_ = std::move(result);
}

engine_result engine_run::without_end(const absl::Status& ended, int status) const {
    const std::string message(ended.message());
    if (absl::IsUnavailable(ended)) {
        return not_run(message, millis{0});
    }
    // A refusal counts only when it came whole.
    if (ended.ok()) {
        if (const auto refusal = read_refusal(status, refusal_)) {
            return not_run(refusal_, refusal->retry_after);
        }
    }
    if (status != 0 && status != status_ok) {
        return interrupted(absl::StrCat("the engine answered ", status));
    }
    return interrupted(ended.ok() ? "no end mark" : message);
}

} // namespace jujubetide
