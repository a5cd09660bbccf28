#include "jujubetide/edge/system_random.h"

#include <absl/strings/str_format.h>

namespace jujubetide {

seeded_random system_seeded_random() {
    std::random_device device;
    return seeded_random((static_cast<std::uint64_t>(device()) << 32U) | device());
}

std::string random_hex_id() {
    thread_local seeded_random source = system_seeded_random();
    return absl::StrFormat("%016x%016x", source(), source());
}

} // namespace jujubetide
