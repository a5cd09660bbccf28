// Feeds arbitrary bytes as a stream of server-sent events: the parser must not crash, and the
// events must not depend on how the bytes are split. The first byte sets the length of the parts.
#include "jujubetide/backend/sse_parser.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

using namespace jujubetide;

namespace {

constexpr std::size_t max_event_bytes = 256;

struct parsed_stream {
    bool accepted = true;
    std::vector<sse_event> events;
};

/// Feeds parts of `length` bytes until the stream ends or an event exceeds the limit.
parsed_stream parse(std::string_view bytes, std::size_t length) {
    sse_parser parser(max_event_bytes);
    parsed_stream result;
    while (!bytes.empty() && result.accepted) {
        const auto events = parser.feed(bytes.substr(0, length));
        result.accepted = events.ok();
        if (events.ok()) {
            result.events.insert(result.events.end(), events->begin(), events->end());
        }
        bytes.remove_prefix(std::min(length, bytes.size()));
    }
    return result;
}

bool equal(const sse_event& a, const sse_event& b) {
    return a.id == b.id && a.name == b.name && a.data == b.data;
}

bool same_events(const parsed_stream& a, const parsed_stream& b) {
    return std::equal(a.events.begin(), a.events.end(), b.events.begin(), b.events.end(), equal);
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const parsed_stream at_once = parse(bytes, std::max<std::size_t>(1, bytes.size()));
    const parsed_stream by_bytes = parse(bytes, 1);
    const parsed_stream by_parts = parse(bytes, data[0] + 1U);
    // A part that contains a too large event yields no events at all, so events are compared only
    // if the whole stream was accepted.
    const bool agree =
        at_once.accepted == by_bytes.accepted && at_once.accepted == by_parts.accepted &&
        (!at_once.accepted || (same_events(at_once, by_bytes) && same_events(at_once, by_parts)));
    if (!agree) {
        std::abort();
    }
    for (const sse_event& event : by_bytes.events) {
        if (event.data.size() + event.id.size() + event.name.size() > max_event_bytes ||
            event.id.find_first_of("\r\n") != std::string::npos) {
            std::abort();
        }
    }
    return 0;
}
