#include "soak/soak_proxy_session.h"

#include "soak/soak_proxy.h"

#include <utility>

namespace jujubetide {

void soak_proxy_session::direction::do_data(std::string_view more) {
    bytes.append(more);
    owner.plan(*this);
}

void soak_proxy_session::direction::do_connected() {
    owner.plan(owner.forth_);
}

void soak_proxy_session::direction::do_end(connection_end end) {
    has_ended = true;
    if (end == connection_end::failed) {
        owner.cut(true);
    } else {
        owner.plan(*this);
    }
}

soak_proxy_session::soak_proxy_session(soak_proxy& proxy, std::shared_ptr<tcp_connection> near)
    : proxy_(proxy), is_slow_(proxy.below(4) == 0), forth_(*this), back_(*this) {
    forth_.from = near;
    back_.to = std::move(near);
    forth_.from->set_events(forth_);
    const millis delay(proxy.below(10) == 0 ? proxy.below(1'500) : 0);
    connecting_ = proxy.loop().once(delay, [this] { connect(); });
}

soak_proxy_session::~soak_proxy_session() {
    cut(false);
}

void soak_proxy_session::connect() {
    if (is_over_) {
        return;
    }
    back_.from = tcp_connection::connect(proxy_.loop(), proxy_.target(), back_);
    forth_.to = back_.from;
    plan(forth_);
}

void soak_proxy_session::plan(direction& one) {
    if (is_over_ || proxy_.is_lost() || one.timer || !one.to ||
        (one.bytes.empty() && !one.has_ended)) {
        return;
    }
    std::uint64_t delay_us = proxy_.below(300);
    if (is_slow_) {
        delay_us = proxy_.below(30) == 0 ? proxy_.below(1'200'000) : proxy_.below(8'000);
    }
    one.timer = proxy_.loop().once(micros(delay_us), [this, &one] { move_bytes(one); });
}

void soak_proxy_session::move_bytes(direction& one) {
    const auto ended = std::move(one.timer); // Kept until this callback of it has ended.
    if (is_over_ || proxy_.is_lost()) {
        return;
    }
    if (proxy_.below(200) == 0) {
        cut(proxy_.below(2) == 0);
        return;
    }
    const bool splits = proxy_.below(5) == 0 && one.bytes.size() > 1;
    const std::size_t size = splits ? 1 + proxy_.below(one.bytes.size() - 1) : one.bytes.size();
    one.to->write(std::string_view(one.bytes).substr(0, size));
    one.bytes.erase(0, size);
    if (one.bytes.empty() && one.has_ended) {
        cut(false);
        return;
    }
    plan(one);
}

void soak_proxy_session::move_on() {
    plan(forth_);
    plan(back_);
}

void soak_proxy_session::cut(bool resets) {
    if (std::exchange(is_over_, true)) {
        return;
    }
    for (const auto& connection : {forth_.from, back_.from}) {
        if (connection && resets) {
            connection->reset();
        } else if (connection) {
            connection->close();
        }
    }
}

} // namespace jujubetide
