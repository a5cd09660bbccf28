#pragma once

#include "backend/http_stream.h"

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/backend/sse_parser.h"

#include <optional>
#include <string>
#include <string_view>

namespace jujubetide {

/// One attempt at one engine: reads its answer's bytes and hands the pieces to the receiver.
class engine_run final : public http_stream_receiver {
public:
    engine_run(const engine_request& request, engine_receiver& receiver);

    /// The result, once the answer has ended: `ended` tells how, `status` is the answer's status or
    /// 0 where none came.
    [[nodiscard]] engine_result result(const absl::Status& ended, int status) const;

protected:
    bool do_on_bytes(int status, std::string_view bytes) override;
    bool do_on_tick() override;

private:
    void take_event(const sse_event& event);
    void take_piece(const std::string& data);
    void take_end(const std::string& data);
    void settle(engine_result result);
    /// The result of a stream that ended without an end mark.
    [[nodiscard]] engine_result without_end(const absl::Status& ended, int status) const;

    const engine_request& request_;
    engine_receiver& receiver_;
    sse_parser parser_;
    bool piece_came_ = false;
    /// The first result that settled the attempt.
    std::optional<engine_result> settled_;
    /// The body of an answer that is no stream.
    std::string refusal_;
};

} // namespace jujubetide
