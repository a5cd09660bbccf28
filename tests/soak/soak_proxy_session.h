#pragma once

#include "jujubetide/net/tcp_connection.h"

#include <memory>
#include <string>

namespace jujubetide {

class soak_proxy;
class timer_subscription;

/// One connection through a `soak_proxy`.
class soak_proxy_session {
public:
    soak_proxy_session(soak_proxy& proxy, std::shared_ptr<tcp_connection> near);
    ~soak_proxy_session();
    soak_proxy_session(const soak_proxy_session&) = delete;
    soak_proxy_session& operator=(const soak_proxy_session&) = delete;

    [[nodiscard]] bool is_over() const { return is_over_; }
    /// Ends both sides, with a reset or in order.
    void cut(bool resets);
    /// Moves the bytes that came while the proxy was lost.
    void move_on();

private:
    /// The bytes that one side has sent and the other one hasn't received.
    struct direction final : connection_events {
        explicit direction(soak_proxy_session& session) : owner(session) {}
        void do_data(std::string_view bytes) override;
        void do_connected() override;
        void do_end(connection_end end) override;

        soak_proxy_session& owner;
        std::shared_ptr<tcp_connection> from;
        std::shared_ptr<tcp_connection> to;
        std::string bytes;
        bool has_ended = false;
        std::unique_ptr<timer_subscription> timer;
    };

    void connect();
    void plan(direction& one);
    void move_bytes(direction& one);

    soak_proxy& proxy_;
    bool is_over_ = false;
    bool is_slow_ = false;
    direction forth_;
    direction back_;
    std::unique_ptr<timer_subscription> connecting_;
};

} // namespace jujubetide
