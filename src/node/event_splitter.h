#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujubetide {

/// Splits a stream of server-sent events at event boundaries; an incomplete event is buffered.
/// Not thread-safe.
class event_splitter {
public:
    /// A longer event is an error of the server.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// Appends `bytes` and returns the buffered text up to the end of the last complete event.
    std::string feed(std::string_view bytes);
    /// Discards the buffered start of an event.
    void discard_incomplete();
    [[nodiscard]] const std::string& incomplete() const { return incomplete_; }
    /// The id of the last complete event that had one, or empty.
    [[nodiscard]] const std::string& last_event_id() const { return last_event_id_; }
    [[nodiscard]] std::uint64_t event_count() const { return event_count_; }

private:
    void record_event(std::string_view event);

    std::string incomplete_;
    /// Where the last, incomplete line of `incomplete_` begins.
    std::size_t line_start_ = 0;
    std::string last_event_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace jujubetide
