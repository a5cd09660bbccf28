#include "jujubetide/settings/sha256.h"

#include <absl/strings/escaping.h>

#include <array>
#include <openssl/evp.h>

namespace jujubetide {

std::string sha256_hex(const std::string& bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    text.reserve(length);
    for (unsigned i = 0; i < length; ++i) {
        text.push_back(static_cast<char>(digest.at(i)));
    }
    return std::string(absl::BytesToHexString(text));
}

} // namespace jujubetide
