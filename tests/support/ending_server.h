#pragma once

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"
#include "jujubetide/net/tcp_connection.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

enum class ending { closed, reset };

/// Answers each connection's first bytes as `answer_with` says, and then ends the connection.
class ending_server {
public:
    explicit ending_server(event_loop& loop) : loop_(loop) {
        acceptor_ = *tcp_acceptor::make(
            loop, {"127.0.0.1", 0}, [this](std::shared_ptr<tcp_connection> connection) {
                sessions_.push_back(std::make_unique<session>(*this, std::move(connection)));
            });
    }
    void answer_with(std::string bytes, ending end) {
        sessions_.clear();
        bytes_ = std::move(bytes);
        end_ = end;
    }
    [[nodiscard]] const endpoint& address() const { return acceptor_->address(); }
    /// Connections since the last `answer_with`.
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    /// Those of them on which something was sent.
    [[nodiscard]] std::size_t requests() const {
        return static_cast<std::size_t>(
            std::count_if(sessions_.begin(), sessions_.end(),
                          [](const auto& one) { return one->timer != nullptr; }));
    }

private:
    struct session final : connection_events {
        session(ending_server& server, std::shared_ptr<tcp_connection> accepted)
            : owner(server), connection(std::move(accepted)) {
            connection->set_events(*this);
        }
        ~session() override { connection->close(); }
        session(const session&) = delete;
        session& operator=(const session&) = delete;

        void do_data(std::string_view) override {
            if (!timer) {
                connection->write(owner.bytes_);
                // The bytes arrive before a reset, which would otherwise discard them.
                timer = owner.loop_.once(millis{2}, [this] { end(); });
            }
        }
        void do_end(connection_end) override {}
        void end() const {
            if (owner.end_ == ending::reset) {
                connection->reset();
            } else {
                connection->close();
            }
        }

        ending_server& owner;
        std::shared_ptr<tcp_connection> connection;
        std::unique_ptr<timer_subscription> timer;
    };

    event_loop& loop_;
    std::string bytes_;
    ending end_ = ending::closed;
    std::vector<std::unique_ptr<session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
};

} // namespace jujubetide
