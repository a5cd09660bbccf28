// Unlike a browser's, the parser gives each event only the id that stands in that event: the id is
// the offset of a piece, which no other event may inherit.
#include "jujubetide/backend/sse_parser.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {

absl::StatusOr<std::vector<sse_event>> sse_parser::feed(std::string_view bytes) {
    std::vector<sse_event> complete;
    for (const char c : bytes) {
        const bool second_half_of_line_end = c == '\n' && after_carriage_return_;
        after_carriage_return_ = c == '\r';
        if (second_half_of_line_end) {
            continue;
        }
        if (c == '\n' || c == '\r') {
            end_line(complete);
            continue;
        }
        if (++event_bytes_ > max_event_bytes_) {
            return absl::ResourceExhaustedError(
                absl::StrCat("an event has more than ", max_event_bytes_, " bytes"));
        }
        line_.push_back(c);
    }
    return complete;
}

void sse_parser::end_line(std::vector<sse_event>& complete) {
    if (!line_.empty()) {
        read_field(line_);
        line_.clear();
        return;
    }
    if (has_data_) {
        complete.push_back(std::move(event_));
    }
    event_ = {};
    event_bytes_ = 0;
    has_data_ = false;
}

void sse_parser::read_field(std::string_view line) {
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "id") {
        event_.id = value;
    } else if (name == "event") {
        event_.name = value;
    } else if (name == "data") {
        if (has_data_) {
            event_.data.push_back('\n');
        }
        event_.data += value;
        has_data_ = true;
    }
}

} // namespace jujubetide
