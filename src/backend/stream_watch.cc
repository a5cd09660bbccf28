#include "backend/stream_watch.h"

#include "backend/http_stream.h"

#include <cstdint>
#include <utility>

namespace jujubetide {
namespace {

constexpr millis tick_interval{50};

} // namespace

/// Ticks a stream until destroyed; then no tick runs any more.
class stream_watch::registration {
public:
    registration(shard& own, http_stream& stream) : own_(own), stream_(stream) {
        const std::lock_guard lock(own_.mutex);
        own_.streams.insert(&stream_);
    }
    ~registration() {
        const std::lock_guard lock(own_.mutex);
        own_.streams.erase(&stream_);
    }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;

private:
    shard& own_;
    http_stream& stream_;
};

stream_watch::stream_watch(timer_service& timers)
    : timer_(timers.every(tick_interval, tick_interval, [this] { tick_all(); })) {}

absl::Status stream_watch::call(http_stream& stream, const std::string& method,
                                const std::string& target, std::string body,
                                const std::map<std::string, std::string>& headers) {
    const registration watched(shard_of(stream), stream);
    return stream.call(method, target, std::move(body), headers);
}

stream_watch::shard& stream_watch::shard_of(const http_stream& stream) {
    // Streams lie on cache lines of their own, so that the lowest bits of their addresses agree.
    constexpr unsigned common_bits = 6;
    return shards_[(reinterpret_cast<std::uintptr_t>(&stream) >> common_bits) % shard_count];
}

void stream_watch::tick_all() {
    for (shard& one : shards_) {
        const std::lock_guard lock(one.mutex);
        for (http_stream* stream : one.streams) {
            stream->tick();
        }
    }
}

} // namespace jujubetide
