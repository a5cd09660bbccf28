#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace jujubetide {

struct json_log_options {
    int descriptor = 1;
    /// Lines of one event kind in a second; further ones are dropped and counted.
    std::uint32_t lines_per_second = 200;
    /// Bytes that wait while the reader does not take them; further lines are dropped and counted.
    std::size_t max_waiting_bytes = std::size_t{256} * 1024;
    log_severity least = log_severity::info;
};

/// Writes one JSON object a line to a descriptor. Never blocks: what the reader does not take in
/// time is dropped, and the number of dropped lines is told. For one thread.
class json_log final : public log_sink {
public:
    /// Makes the descriptor non-blocking. The clock must outlive the log.
    json_log(std::string node, const clock& time, json_log_options options = {});

    /// Writes what waits; to be called several times a second.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

protected:
    void do_write(const log_event& event, std::initializer_list<log_field> fields) override;

private:
    struct rate {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
    };
    [[nodiscard]] std::size_t room_for(log_severity severity) const;
    [[nodiscard]] bool is_within_rate(const log_event& event);
    void append_drops();
    void write_waiting();

    std::string node_;
    const clock& clock_;
    json_log_options options_;
    std::string waiting_;
    std::map<int, rate> rates_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_told_ = 0;
};

} // namespace jujubetide
