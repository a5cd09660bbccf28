#pragma once

#include <string>

namespace jujubetide {

/// SHA-256 of the bytes, in lower-case hex. Keys of operators and customers are kept in this form.
std::string sha256_hex(const std::string& bytes);

} // namespace jujubetide
