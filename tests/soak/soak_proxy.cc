#include "soak/soak_proxy.h"

#include "soak/soak_proxy_session.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace jujubetide {

absl::StatusOr<std::unique_ptr<soak_proxy>> soak_proxy::make(event_loop& loop,
                                                             const endpoint& listen,
                                                             const endpoint& target,
                                                             std::uint64_t seed) {
    std::unique_ptr<soak_proxy> made(new soak_proxy(loop, listen, target, seed));
    const absl::Status opened = made->open();
    if (!opened.ok()) {
        return opened;
    }
    return made;
}

absl::Status soak_proxy::open() {
    auto acceptor =
        tcp_acceptor::make(loop_, listen_, [this](std::shared_ptr<tcp_connection> connection) {
            sessions_.push_back(std::make_unique<soak_proxy_session>(*this, std::move(connection)));
        });
    if (acceptor.ok()) {
        acceptor_ = std::move(*acceptor);
    }
    return acceptor.status();
}

void soak_proxy::lose(bool cuts) {
    acceptor_.reset();
    for (const auto& session : sessions_) {
        if (cuts) {
            session->cut(true);
        }
    }
}

void soak_proxy::restore() {
    const absl::Status opened = acceptor_ ? absl::OkStatus() : open();
    if (!opened.ok()) {
        std::cerr << opened.message() << '\n';
        return;
    }
    for (const auto& session : sessions_) {
        session->move_on();
    }
}

soak_proxy::soak_proxy(event_loop& loop, endpoint listen, endpoint target, std::uint64_t seed)
    : loop_(loop), listen_(std::move(listen)), target_(std::move(target)), random_(seed),
      removing_(loop.every(millis{100}, millis{100}, [this] {
          sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(),
                                         [](const auto& one) { return one->is_over(); }),
                          sessions_.end());
      })) {}

soak_proxy::~soak_proxy() = default;

} // namespace jujubetide
