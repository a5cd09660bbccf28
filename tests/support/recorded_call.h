#pragma once

#include "jujubetide/http1/http1_client.h"

#include <optional>
#include <string>

namespace jujubetide {

/// Records what comes back from one call.
class recorded_call final : public call_events {
public:
    response_head head;
    std::string body;
    bool whole = false;
    std::optional<call_failure> failure;
    /// Responses for which `on_head` says that they belong to another call.
    int to_skip = 0;
    int skipped = 0;

    [[nodiscard]] bool over() const { return whole || failure.has_value(); }

protected:
    [[nodiscard]] bool do_head(const response_head& got) override {
        if (skipped < to_skip) {
            ++skipped;
            return false;
        }
        head = got;
        return true;
    }
    void do_body(std::string_view bytes) override { body += bytes; }
    void do_complete() override { whole = true; }
    void do_failed(call_failure how) override { failure = how; }
};

} // namespace jujubetide
