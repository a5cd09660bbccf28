// Any bytes as a stream of server-sent events: no crash, and the same events however the bytes are
// split. The first byte chooses the length of the parts.
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
    bool whole = true;
    std::vector<sse_event> events;
};

/// Feeds parts of `length` bytes until the stream ends or an event is too large.
parsed_stream parse(std::string_view bytes, std::size_t length) {
    sse_parser parser(max_event_bytes);
    parsed_stream result;
    while (!bytes.empty() && result.whole) {
        const auto events = parser.feed(bytes.substr(0, length));
        result.whole = events.ok();
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

// The fuzzer's library prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    const parsed_stream at_once = parse(bytes, std::max<std::size_t>(1, bytes.size()));
    const parsed_stream by_bytes = parse(bytes, 1);
    const parsed_stream by_parts = parse(bytes, data[0] + 1U);
    // A part with an event that is too large gives none of its events, so that they are compared
    // only where the stream was whole.
    const bool agree =
        at_once.whole == by_bytes.whole && at_once.whole == by_parts.whole &&
        (!at_once.whole || (same_events(at_once, by_bytes) && same_events(at_once, by_parts)));
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
