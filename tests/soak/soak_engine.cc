#include "soak/soak_engine.h"

#include "soak/soak_engine_session.h"

#include <algorithm>
#include <utility>

namespace jujubetide {

absl::StatusOr<std::unique_ptr<soak_engine>>
soak_engine::make(event_loop& loop, soak_engine_settings settings, const soak_report& report) {
    if (settings.slots == 0 || settings.id.empty()) {
        return absl::InvalidArgumentError("an engine needs an id and a slot");
    }
    std::unique_ptr<soak_engine> made(new soak_engine(loop, std::move(settings), report));
    auto acceptor = tcp_acceptor::make(loop, made->settings_.listen,
                                       [engine = made.get()](std::shared_ptr<tcp_connection> one) {
                                           engine->accept(std::move(one));
                                       });
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    made->acceptor_ = std::move(*acceptor);
    return made;
}

soak_engine::soak_engine(event_loop& loop, soak_engine_settings settings, const soak_report& report)
    : loop_(loop), settings_(std::move(settings)), report_(report), random_(settings_.seed),
      removing_(loop.every(millis{100}, millis{100}, [this] { remove_ended(); })) {}

soak_engine::~soak_engine() = default;

void soak_engine::accept(std::shared_ptr<tcp_connection> connection) {
    const auto open = std::count_if(sessions_.begin(), sessions_.end(),
                                    [](const auto& one) { return one->is_open(); });
    if (static_cast<std::size_t>(open) >= settings_.max_connections) {
        connection->reset();
        return;
    }
    sessions_.push_back(std::make_unique<soak_engine_session>(*this, std::move(connection)));
}

bool soak_engine::is_full() const {
    return running_ >= settings_.slots && queue_.size() >= settings_.queue;
}

void soak_engine::admit(soak_engine_session& session) {
    if (running_ >= settings_.slots) {
        queue_.push_back(&session);
        return;
    }
    ++running_;
    session.run();
}

void soak_engine::withdraw(const soak_engine_session& session) {
    queue_.erase(std::remove(queue_.begin(), queue_.end(), &session), queue_.end());
}

void soak_engine::release() {
    --running_;
    if (!queue_.empty()) {
        soak_engine_session* const next = queue_.front();
        queue_.pop_front();
        ++running_;
        next->run();
    }
}

void soak_engine::remove_ended() {
    sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(),
                                   [](const auto& one) { return one->is_over(); }),
                    sessions_.end());
}

} // namespace jujubetide
