#include "jujubetide/http1/connection_options.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace jujubetide {
namespace {

absl::string_view to_absl_view(std::string_view text) {
    return {text.data(), text.size()};
}

} // namespace

connection_options::connection_options(const header_list& headers) {
    for (const auto& [name, value] : headers.fields()) {
        if (!is_same_header(name, "Connection")) {
            continue;
        }
        for (const absl::string_view option :
             absl::StrSplit(to_absl_view(value), ',', absl::SkipWhitespace())) {
            names_.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(option)));
        }
    }
}

bool connection_options::contains(std::string_view name) const {
    return !names_.empty() && names_.contains(absl::AsciiStrToLower(to_absl_view(name)));
}

} // namespace jujubetide
