#pragma once

#include "backend/http_stream.h"

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/backend/sse_parser.h"

#include <optional>
#include <string>

namespace jujubetide {

/// One attempt at one engine: reads the stream and hands the pieces to the receiver.
class engine_run {
public:
    engine_run(http_stream& stream, const engine_request& request, engine_receiver& receiver);

    /// Reads until the end mark, the end of the stream or the receiver's wish to stop.
    engine_result read();

private:
    /// Takes what came; returns the result where it settles the attempt.
    std::optional<engine_result> take(const http_stream::progress& seen);
    std::optional<engine_result> take_event(const sse_event& event);
    std::optional<engine_result> take_piece(const std::string& data);
    [[nodiscard]] engine_result read_end(const std::string& data) const;
    /// The result of a stream that ended without an end mark.
    [[nodiscard]] engine_result without_end() const;

    http_stream& stream_;
    const engine_request& request_;
    engine_receiver& receiver_;
    sse_parser parser_;
    bool piece_came_ = false;
    /// The body of an answer that is no stream.
    std::string refusal_;
};

} // namespace jujubetide
