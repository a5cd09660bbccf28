#include "node/event_splitter.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Position behind the blank line that ends the event at `from`; npos if it is incomplete.
std::size_t event_end(std::string_view text, std::size_t from) {
    while (from < text.size()) {
        const std::size_t line_end = text.find('\n', from);
        if (line_end == std::string_view::npos) {
            return line_end;
        }
        const std::size_t length = line_end - from;
        if (length == 0 || (length == 1 && text[from] == '\r')) {
            return line_end + 1;
        }
        from = line_end + 1;
    }
    return std::string_view::npos;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes) {
    incomplete_ += bytes;
    std::size_t consumed = 0;
    for (std::size_t end = event_end(incomplete_, consumed); end != std::string::npos;
         end = event_end(incomplete_, consumed)) {
        record_event(std::string_view(incomplete_).substr(consumed, end - consumed));
        consumed = end;
    }
    std::string complete_events = incomplete_.substr(0, consumed);
    incomplete_ = incomplete_.substr(consumed); // Keeps no memory of a large event.
    return complete_events;
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
