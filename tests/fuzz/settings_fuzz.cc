// Feeds arbitrary bytes as settings documents and as a peer's settings message: nothing crashes,
// and valid settings are unchanged by encoding and decoding them.
#include "jujubetide/settings/settings_codec.h"
#include "jujubetide/settings/settings_parser.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace jujubetide;

namespace {

void check_document(const std::string& path, const std::string& text) {
    findings found;
    const snapshot_ptr snapshot = parse_settings({{path, text}}, revision{1}, found);
    if ((snapshot == nullptr) != !found.empty()) {
        std::abort();
    }
    if (!snapshot) {
        return;
    }
    const auto received = decode_settings(encode_settings(*snapshot));
    if (!received.ok() || (*received)->documents() != snapshot->documents()) {
        std::abort();
    }
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    check_document("/teams/frio/services/diagnosis", text);
    check_document("/teams/frio/backends/engine", text);
    check_document("/teams/frio/customers/clinic", text);
    check_document("/operators/ana", text);
    static_cast<void>(decode_settings(text));
    return 0;
}
