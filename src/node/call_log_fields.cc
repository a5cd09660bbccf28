#include "node/call_log_fields.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

std::string ms_text(micros duration) {
    return std::to_string(to_millis(duration).count());
}

std::string shared_part_ids(std::span<const prompt_part> parts) {
    std::string ids;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        absl::StrAppend(&ids, i == 0 ? "" : ",", parts[i].id);
    }
    return ids;
}

std::string limit_text(const response_fields& fields) {
    return fields.calls_per_second ? absl::StrCat(*fields.calls_per_second)
                                   : (fields.has_malformed_limit ? "malformed" : "-");
}

std::string_view name_of(body_framing framing) {
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "unknown";
}

std::string_view name_of(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::wrong_server:
        return "wrong_server";
    case attempt_outcome::error_answer:
        return "error_answer";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::broken_midway:
        return "broken_midway";
    }
    return "unknown";
}

} // namespace jujubetide
