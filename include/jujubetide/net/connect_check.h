#pragma once

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_connection.h"

#include <functional>
#include <memory>

namespace jujubetide {

/// Checks whether a server accepts connections, by opening one and closing it unused. Destroying
/// the check cancels it.
class connect_check final : public connection_events {
public:
    /// Receives whether a connection was established; may destroy the check.
    using handler = std::function<void(bool)>;

    /// A server that does not accept the connection within `timeout` does not accept any.
    static std::unique_ptr<connect_check> start(event_loop& loop, const endpoint& server,
                                                micros timeout, handler done);
    ~connect_check() override;
    connect_check(const connect_check&) = delete;
    connect_check& operator=(const connect_check&) = delete;

protected:
    void do_connected() override { finish(true); }
    void do_data(std::string_view) override {}
    void do_end(connection_end) override { finish(false); }

private:
    explicit connect_check(handler done) : done_(std::move(done)) {}
    void finish(bool is_connected);

    handler done_;
    std::shared_ptr<tcp_connection> connection_;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
