#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubetide {

/// Cuts the bytes of a stream into whole events and keeps the rest. Not thread-safe.
class event_splitter {
public:
    /// An event longer than this makes no sense.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// Takes bytes and returns those up to the end of the last whole event.
    std::string feed(std::string_view bytes);
    /// Forgets an event that was cut off.
    void drop_rest() { rest_.clear(); }
    [[nodiscard]] const std::string& rest() const { return rest_; }
    /// The id of the last whole event, or empty.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    [[nodiscard]] std::uint64_t events() const { return events_; }

private:
    void note_event(std::string_view event);

    std::string rest_;
    std::string last_id_;
    std::uint64_t events_ = 0;
};

} // namespace jujubetide
