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
/// How often the receiver is asked while nothing comes; half of what it is promised.
constexpr millis idle_interval{50};
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

engine_run::engine_run(http_stream& stream, const engine_request& request,
                       engine_receiver& receiver)
    : stream_(stream), request_(request), receiver_(receiver), parser_(max_event_bytes) {}

engine_result engine_run::read() {
    while (true) {
        const http_stream::progress seen = stream_.wait(idle_interval);
        if (const auto settled = take(seen)) {
            return *settled;
        }
        if (seen.finished) {
            return without_end();
        }
        // Bytes without a piece, such as comments that keep the stream open, are idle time too.
        if (!std::exchange(piece_came_, false) && !receiver_.on_idle()) {
            return cancelled();
        }
    }
}

std::optional<engine_result> engine_run::take(const http_stream::progress& seen) {
    if (seen.bytes.empty()) {
        return std::nullopt;
    }
    if (stream_.status() != status_ok) {
        refusal_.append(seen.bytes, 0,
                        max_refusal_bytes - std::min(max_refusal_bytes, refusal_.size()));
        return std::nullopt;
    }
    const auto events = parser_.feed(seen.bytes);
    if (!events.ok()) {
        return interrupted(std::string(events.status().message()));
    }
    for (const sse_event& event : *events) {
        if (const auto settled = take_event(event)) {
            return *settled;
        }
    }
    return std::nullopt;
}

std::optional<engine_result> engine_run::take_event(const sse_event& event) {
    if (event.name == "end") {
        return read_end(event.data);
    }
    if (event.name.empty()) {
        return take_piece(event.data);
    }
    return std::nullopt;
}

std::optional<engine_result> engine_run::take_piece(const std::string& data) {
    engine_piece piece;
    try {
        piece = read_piece(nlohmann::json::parse(data));
    } catch (const nlohmann::json::exception& error) {
        return interrupted(absl::StrCat("unreadable piece: ", error.what()));
    }
    piece_came_ = true;
    if (!receiver_.on_piece(piece)) {
        return cancelled();
    }
    return std::nullopt;
}

engine_result engine_run::read_end(const std::string& data) const {
    engine_result result;
    try {
        const auto body = nlohmann::json::parse(data);
        if (body.at("attempt_id").get<std::string>() != request_.attempt.str()) {
            return interrupted("the end mark belongs to another attempt");
        }
        result.total = piece_offset(body.at("total").get<std::uint32_t>());
        result.finish_reason = body.at("finish_reason").get<std::string>();
        result.prompt_tokens = token_count(body.at("prompt_tokens").get<std::uint64_t>());
        result.cached_tokens = token_count(body.at("cached_tokens").get<std::uint64_t>());
    } catch (const nlohmann::json::exception& error) {
        return interrupted(absl::StrCat("unreadable end mark: ", error.what()));
    }
    result.outcome = engine_outcome::completed;
    return result;
}

engine_result engine_run::without_end() const {
    const absl::Status status = stream_.result();
    const std::string message(status.message());
    if (absl::IsUnavailable(status)) {
        return not_run(message, millis{0});
    }
    // A refusal counts only when it came whole.
    if (status.ok()) {
        if (const auto refusal = read_refusal(stream_.status(), refusal_)) {
            return not_run(refusal_, refusal->retry_after);
        }
    }
    if (stream_.status() != 0 && stream_.status() != status_ok) {
        return interrupted(absl::StrCat("the engine answered ", stream_.status()));
    }
    return interrupted(status.ok() ? "no end mark" : message);
}

} // namespace jujubetide
