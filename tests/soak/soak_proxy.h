#pragma once

#include "jujubetide/base/random_source.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"

#include <absl/status/statusor.h>

#include <memory>
#include <vector>

namespace jujubetide {

class soak_proxy_session;

/// A path to one address that delays, stalls, splits and cuts connections.
class soak_proxy {
public:
    /// Unavailable when `listen` cannot be bound.
    static absl::StatusOr<std::unique_ptr<soak_proxy>>
    make(event_loop& loop, const endpoint& listen, const endpoint& target, std::uint64_t seed);
    ~soak_proxy();
    soak_proxy(const soak_proxy&) = delete;
    soak_proxy& operator=(const soak_proxy&) = delete;

    /// From now on, no connection is accepted, and those that there are stall, or are cut.
    void lose(bool cuts);
    void restore();
    /// Whether the bytes of connections go nowhere.
    [[nodiscard]] bool is_lost() const { return acceptor_ == nullptr; }
    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] const endpoint& target() const { return target_; }
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return random_.below(bound); }

private:
    soak_proxy(event_loop& loop, endpoint listen, endpoint target, std::uint64_t seed);
    absl::Status open();

    event_loop& loop_;
    endpoint listen_;
    endpoint target_;
    seeded_random random_;
    std::vector<std::unique_ptr<soak_proxy_session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::unique_ptr<timer_subscription> removing_;
};

} // namespace jujubetide
