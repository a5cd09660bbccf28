#pragma once

#include "jujubetide/base/timer_service.h"

#include <array>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace jujubetide {

class http_stream;

/// Ticks all running streams from one timer, each at least twice in 100 ms. Thread-safe.
class stream_watch {
public:
    explicit stream_watch(timer_service& timers);

    /// Ticks a stream until destroyed; then no tick runs any more.
    class registration {
    public:
        registration(stream_watch& watch, http_stream& stream);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        stream_watch& watch_;
        http_stream& stream_;
    };

private:
    /// Its lock is held while its streams are ticked, so that a stream that has left is not.
    struct shard {
        std::mutex mutex;
        std::unordered_set<http_stream*> streams;
    };
    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const http_stream& stream);
    void tick_all();

    std::array<shard, shard_count> shards_;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
