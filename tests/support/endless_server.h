#pragma once

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"
#include "jujubetide/net/tcp_connection.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// Sends `first` once per connection, then `repeated` for as long as the connection is open.
class endless_server {
public:
    endless_server(event_loop& loop, std::string first, std::string repeated)
        : loop_(loop), first_(std::move(first)), repeated_(std::move(repeated)) {
        while (!repeated_.empty() && repeated_.size() < write_bytes) {
            repeated_ += repeated_;
        }
        acceptor_ = *tcp_acceptor::make(
            loop, {"127.0.0.1", 0}, [this](std::shared_ptr<tcp_connection> connection) {
                sessions_.push_back(std::make_unique<session>(*this, std::move(connection)));
            });
    }
    [[nodiscard]] const endpoint& address() const { return acceptor_->address(); }
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    [[nodiscard]] bool all_closed() const {
        return std::all_of(sessions_.begin(), sessions_.end(),
                           [](const auto& one) { return one->is_closed; });
    }

private:
    static constexpr std::size_t write_bytes = 32'768;

    struct session final : connection_events {
        session(endless_server& server, std::shared_ptr<tcp_connection> accepted)
            : owner(server), connection(std::move(accepted)) {
            connection->set_events(*this);
        }
        ~session() override { connection->close(); }
        session(const session&) = delete;
        session& operator=(const session&) = delete;
        void do_data(std::string_view) override {
            if (!timer) {
                connection->write(owner.first_);
                timer = owner.loop_.every(millis{1}, millis{1}, [this] {
                    if (!is_closed && connection->unsent_bytes() == 0) {
                        connection->write(owner.repeated_);
                    }
                });
            }
        }
        void do_end(connection_end) override { is_closed = true; }

        endless_server& owner;
        std::shared_ptr<tcp_connection> connection;
        std::unique_ptr<timer_subscription> timer;
        bool is_closed = false;
    };

    event_loop& loop_;
    std::string first_;
    std::string repeated_;
    std::vector<std::unique_ptr<session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
};

} // namespace jujubetide
