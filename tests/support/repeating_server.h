#pragma once

#include "jujubetide/http1/message_parser.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"
#include "jujubetide/net/tcp_connection.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// A backend server that keeps its connections, refuses some requests as not run, and may write an
/// earlier refusal of a connection once more before it runs and answers a request there.
class repeating_server {
public:
    explicit repeating_server(event_loop& loop) : loop_(loop) {
        acceptor_ = *tcp_acceptor::make(
            loop, {"127.0.0.1", 0}, [this](std::shared_ptr<tcp_connection> connection) {
                sessions_.push_back(std::make_unique<session>(*this, std::move(connection)));
            });
    }
    [[nodiscard]] const endpoint& address() const { return acceptor_->address(); }
    /// Whether refusals bear the attempt's id.
    void set_named(bool named) { is_named_ = named; }
    void refuse_next(int requests) { to_refuse_ = requests; }
    void run_next() { to_refuse_ = 0; }
    /// The next request that is run is preceded by a copy of a refusal made before.
    void repeat_before_next() { repeats_ = true; }
    /// As `repeat_before_next`, beginning after the next refusal.
    void repeat_after_refusal() { repeats_after_refusal_ = true; }
    [[nodiscard]] int runs(const std::string& attempt) const {
        const auto found = runs_.find(attempt);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    static constexpr millis run_time{10};

    struct session final : connection_events, message_events {
        session(repeating_server& server, std::shared_ptr<tcp_connection> accepted)
            : owner(server), connection(std::move(accepted)),
              parser(message_parser::kind::request, *this) {
            connection->set_events(*this);
        }
        ~session() override { connection->close(); }
        session(const session&) = delete;
        session& operator=(const session&) = delete;

        void do_data(std::string_view bytes) override {
            while (!bytes.empty()) {
                bytes.remove_prefix(std::min(parser.feed(bytes), bytes.size()));
                if (parser.state() != parse_state::complete) {
                    return;
                }
                parser.restart();
                owner.serve(*this);
            }
        }
        void do_request_head(request_head head) override {
            attempt = std::string(head.headers.find("X-Attempt-Id").value_or(""));
        }
        void do_body(std::string_view) override {}
        void do_end(connection_end) override { is_open = false; }

        repeating_server& owner;
        std::shared_ptr<tcp_connection> connection;
        message_parser parser;
        bool is_open = true;
        bool has_served = false;
        std::string attempt;
        std::string refusal;
        std::unique_ptr<timer_subscription> timer;
    };

    void serve(session& on) {
        const std::string id = "X-Attempt-Id: " + on.attempt + "\r\n";
        if (to_refuse_ > 0) {
            --to_refuse_;
            on.refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
                         (is_named_ ? id : std::string()) + "Content-Length: 0\r\n\r\n";
            last_refusal_ = on.refusal;
            repeats_ = repeats_ || repeats_after_refusal_;
            on.has_served = true;
            on.connection->write(on.refusal);
            return;
        }
        ++runs_[on.attempt];
        // A copy comes on a connection that has carried another request before.
        if (std::exchange(on.has_served, true) && repeats_) {
            repeats_ = false;
            on.connection->write(on.refusal.empty() ? last_refusal_ : on.refusal);
        }
        on.timer = loop_.once(run_time, [&on, id] {
            if (on.is_open) {
                on.connection->write("HTTP/1.1 200 OK\r\nX-Upstream-Signature: s\r\n" + id +
                                     "Content-Length: 2\r\n\r\nok");
            }
        });
    }

    event_loop& loop_;
    bool is_named_ = true;
    int to_refuse_ = 0;
    bool repeats_ = false;
    bool repeats_after_refusal_ = false;
    std::string last_refusal_;
    std::map<std::string, int> runs_;
    std::vector<std::unique_ptr<session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
};

} // namespace jujubetide
