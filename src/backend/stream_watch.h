#pragma once

#include "jujubetide/base/timer_service.h"

#include <absl/status/status.h>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

namespace jujubetide {

class http_stream;

/// Ticks all running streams from one timer, each at least twice in 100 ms. Thread-safe.
class stream_watch {
public:
    /// `timers` must outlive the watch.
    explicit stream_watch(timer_service& timers);

    /// Makes the stream's call, and ticks the stream until it has ended. Blocks; result as for
    /// `http_stream::call`.
    absl::Status call(http_stream& stream, const std::string& method, const std::string& target,
                      std::string body, const std::map<std::string, std::string>& headers = {});

private:
    class registration;

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
