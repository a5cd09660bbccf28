#include "jujubetide/platform/http_object_store.h"

#include "platform/platform_call.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

bool is_path_character(char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' ||
           c == '/';
}

/// The path of an object; names outside of the characters of a path are percent-encoded.
std::string object_target(const std::string& name) {
    std::string target = "/v1/objects/";
    for (const char c : name) {
        if (is_path_character(c)) {
            target.push_back(c);
        } else {
            absl::StrAppend(&target, "%",
                            absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        }
    }
    return target;
}

} // namespace

absl::Status http_object_store::do_put(const std::string& name, const std::string& body) {
    return platform_call(platform_, "PUT", object_target(name), body, timeouts_,
                         "application/octet-stream")
        .status();
}

absl::StatusOr<std::string> http_object_store::do_get(const std::string& name) {
    auto answer = platform_call(platform_, "GET", object_target(name), "", timeouts_);
    if (!answer.ok()) {
        return answer.status();
    }
    return std::move(answer->body);
}

} // namespace jujubetide
