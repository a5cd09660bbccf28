#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubetide {

/// One event of a stream of server-sent events.
struct sse_event {
    std::string id;
    /// Empty where the stream names none.
    std::string name;
    std::string data;
};

/// Takes server-sent events from a stream of bytes, split anywhere. An event that is cut off at the
/// end of the stream is never returned. Not thread-safe.
class sse_parser {
public:
    /// `max_event_bytes` bounds one event, and with it what the parser keeps.
    explicit sse_parser(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

    /// The events that `bytes` complete. ResourceExhausted when an event is too large; the stream
    /// is of no use then.
    absl::StatusOr<std::vector<sse_event>> feed(std::string_view bytes);

private:
    void end_line(std::vector<sse_event>& complete);
    void read_field(std::string_view line);

    std::size_t max_event_bytes_;
    std::string line_;
    sse_event event_;
    std::size_t event_bytes_ = 0;
    bool has_data_ = false;
    bool after_carriage_return_ = false;
};

} // namespace jujubetide
