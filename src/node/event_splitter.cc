#include "node/event_splitter.h"

#include <algorithm>

namespace jujubetide {
std::string event_splitter::feed(std::string_view bytes) {
    std::size_t line_end = incomplete_.size();
    incomplete_ += bytes;
    const std::string_view text = incomplete_;
    std::size_t consumed = 0;
    // Only new bytes are searched: an event may arrive in very many pieces.
    while ((line_end = text.find('\n', line_end)) != std::string_view::npos) {
        const std::string_view line = text.substr(line_start_, line_end - line_start_);
        line_start_ = ++line_end;
        if (line.empty() || line == "\r") {
            record_event(text.substr(consumed, line_end - consumed));
            consumed = line_end;
        }
    }
    if (consumed == 0) {
        return {};
    }
    std::string complete_events = incomplete_.substr(0, consumed);
    incomplete_ = incomplete_.substr(consumed); // Keeps no memory of a large event.
    line_start_ -= consumed;
    return complete_events;
}

void event_splitter::discard_incomplete() {
    incomplete_ = {};
    line_start_ = 0;
}

void event_splitter::record_event(std::string_view event) {
    bool has_content = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(line.starts_with("id: ") ? 4 : 3);
            last_event_id_ = line;
        }
        has_content = has_content || line.starts_with("data") || line.starts_with("id");
    }
    event_count_ += has_content ? 1 : 0;
}

} // namespace jujubetide
