#include "node/event_splitter.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// End of the event that begins at `from`, behind its blank line; npos where it is not whole.
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
    rest_ += bytes;
    std::size_t done = 0;
    for (std::size_t end = event_end(rest_, done); end != std::string::npos;
         end = event_end(rest_, done)) {
        note_event(std::string_view(rest_).substr(done, end - done));
        done = end;
    }
    std::string whole = rest_.substr(0, done);
    rest_.erase(0, done);
    return whole;
}

void event_splitter::note_event(std::string_view event) {
    bool has_data = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(line.starts_with("id: ") ? 4 : 3);
            last_id_ = line;
        }
        has_data = has_data || line.starts_with("data") || line.starts_with("id");
    }
    events_ += has_data ? 1 : 0;
}

} // namespace jujubetide
