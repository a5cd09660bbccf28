#include "jujubetide/base/log.h"

namespace jujubetide {

std::string_view severity_word(log_severity severity) {
    switch (severity) {
    case log_severity::debug:
        return "debug";
    case log_severity::info:
        return "info";
    case log_severity::warning:
        return "warning";
    case log_severity::error:
        return "error";
    }
    return "error";
}

} // namespace jujubetide
