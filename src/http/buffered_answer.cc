#include "jujubetide/http/buffered_answer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace jujubetide {

bool buffered_answer::begin(const httplib::Response& head) {
    std::uint64_t length = 0;
    if (!absl::SimpleAtoi(head.get_header_value("Content-Length"), &length)) {
        return true;
    }
    return reserve(length);
}

bool buffered_answer::append(std::string_view bytes) {
    const std::size_t size = body_.size() + bytes.size();
    const std::size_t grown = std::max(size, std::min(2 * reserved_, max_bytes_));
    if (!error_.empty() || (size > reserved_ && !reserve(grown))) {
        body_ = {};
        return false;
    }
    body_ += bytes;
    return true;
}

bool buffered_answer::reserve(std::size_t bytes) {
    if (bytes > max_bytes_) {
        error_ = absl::StrCat("the answer has more than ", max_bytes_, " bytes");
    } else if (!memory_->resize(bytes)) {
        error_ = absl::StrCat("no memory for an answer of ", bytes, " bytes");
    }
    if (!error_.empty()) {
        return false;
    }
    reserved_ = bytes;
    body_.reserve(bytes);
    return true;
}

} // namespace jujubetide
