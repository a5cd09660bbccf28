#include "jujubetide/net/connect_check.h"

#include <utility>

namespace jujubetide {

std::unique_ptr<connect_check> connect_check::start(event_loop& loop, const endpoint& server,
                                                    micros timeout, handler done) {
    std::unique_ptr<connect_check> check(new connect_check(std::move(done)));
    check->timer_ = loop.once(timeout, [target = check.get()] { target->finish(false); });
    check->connection_ = tcp_connection::connect(loop, server, *check);
    return check;
}

connect_check::~connect_check() {
    if (connection_) {
        connection_->close();
    }
}

void connect_check::finish(bool is_connected) {
    if (const auto connection = std::exchange(connection_, nullptr)) {
        connection->close();
    }
    const handler done = std::exchange(done_, nullptr);
    if (done) {
        done(is_connected); // May destroy this object.
    }
}

} // namespace jujubetide
