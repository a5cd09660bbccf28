#pragma once

#include "standins/standin_engine_faults.h"
#include "standins/standin_engine_scheduler.h"

#include "jujubetide/backend/engine_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// One running answer of an engine stand-in.
class standin_engine_stream {
public:
    struct parts {
        engine_request request;
        std::uint32_t total = 0;
        std::string finish_reason;
        token_count prompt_tokens;
        token_count cached_tokens;
        millis first_piece{0};
        millis between_pieces{0};
    };
    enum class ending { clean, torn };
    /// Sends bytes to the caller; returns false when the caller is gone.
    using writer = std::function<bool(const std::string& bytes)>;

    standin_engine_stream(parts answer, standin_engine_scheduler& scheduler,
                          standin_engine_faults& faults);

    /// Writes the events, with the faults that meet this call.
    ending run(const writer& write);

private:
    /// Whether fault `fault` meets the piece at this index of the stream.
    [[nodiscard]] bool meets(const std::optional<engine_fault_plan>& fault,
                             std::size_t index) const;
    void plan_order();
    [[nodiscard]] bool wait_before(std::size_t index);
    [[nodiscard]] std::string piece_event(std::size_t index) const;
    [[nodiscard]] std::string end_event() const;

    parts answer_;
    standin_engine_scheduler& scheduler_;
    std::optional<engine_fault_plan> end_early_;
    std::optional<engine_fault_plan> stall_;
    std::optional<engine_fault_plan> repeat_;
    std::optional<engine_fault_plan> cross_;
    std::optional<engine_fault_plan> skip_;
    std::optional<engine_fault_plan> wrong_attempt_;
    std::optional<engine_fault_plan> late_;
    std::optional<engine_fault_plan> tear_;
    /// Offsets in the order of sending.
    std::vector<std::uint32_t> offsets_;
};

} // namespace jujubetide
