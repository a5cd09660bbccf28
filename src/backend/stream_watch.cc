#include "backend/stream_watch.h"

#include "backend/http_stream.h"

#include <functional>

namespace jujubetide {
namespace {

constexpr millis tick_interval{50};

} // namespace

stream_watch::stream_watch(timer_service& timers)
    : timer_(timers.every(tick_interval, tick_interval, [this] { tick_all(); })) {}

stream_watch::registration::registration(stream_watch& watch, http_stream& stream)
    : watch_(watch), stream_(stream) {
    shard& own = watch_.shard_of(stream_);
    const std::lock_guard lock(own.mutex);
    own.streams.insert(&stream_);
}

stream_watch::registration::~registration() {
    shard& own = watch_.shard_of(stream_);
    const std::lock_guard lock(own.mutex);
    own.streams.erase(&stream_);
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
