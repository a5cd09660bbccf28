#pragma once

#include "jujubetide/http1/message_parser.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"
#include "jujubetide/net/tcp_connection.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// A backend server that keeps its connections, refuses some requests as not run, and may write an
/// earlier answer of a connection once more before it runs and answers a request there.
class repeating_server {
public:
    /// What follows the server's own fields in the head of an answer: `Content-Length` or another
    /// framing, the empty line and the body. `run` counts the requests that the server has run.
    using answer_maker = std::function<std::string(const request_head& head, int run)>;

    explicit repeating_server(event_loop& loop) : loop_(loop) {
        acceptor_ = *tcp_acceptor::make(
            loop, {"127.0.0.1", 0}, [this](std::shared_ptr<tcp_connection> connection) {
                sessions_.push_back(std::make_unique<session>(*this, std::move(connection)));
            });
    }
    [[nodiscard]] const endpoint& address() const { return acceptor_->address(); }
    /// Requests that expect a server with another id are answered 421 from now on; an empty id ends
    /// that.
    void set_id(std::string id) { id_ = std::move(id); }
    /// The id of the server that the last request expected.
    [[nodiscard]] const std::string& last_expected() const { return last_expected_; }
    /// Whether refusals bear the attempt's id.
    void set_named(bool named) { is_named_ = named; }
    void set_run_time(millis duration) { run_time_ = duration; }
    /// The status of requests that are run.
    void set_status(int status) { status_ = status; }
    void answer_with(answer_maker maker) { make_answer_ = std::move(maker); }
    void refuse_next(int requests) { to_refuse_ = requests; }
    void run_next() { to_refuse_ = 0; }
    /// The next request that is run is preceded by a copy of a refusal made before.
    void repeat_before_next() { repeats_ = true; }
    /// As `repeat_before_next`, beginning after the next refusal.
    void repeat_after_refusal() { repeats_after_refusal_ = true; }
    /// As `repeat_before_next`, with the last answer of the connection, refusal or not.
    void repeat_answer_before_next() { repeats_answer_ = true; }
    /// The answer to the next request that is run on a used connection is preceded by these bytes.
    void write_before_next(std::string bytes) { before_next_ = std::move(bytes); }
    /// Connections that were accepted so far.
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    /// Writes bytes that belong to no request on the connections that wait for one.
    void write_unasked(const std::string& bytes) {
        for (const auto& on : sessions_) {
            if (on->is_open && !on->is_running) {
                on->connection->write(bytes);
            }
        }
    }
    [[nodiscard]] int runs(const std::string& attempt) const {
        const auto found = runs_.find(attempt);
        return found == runs_.end() ? 0 : found->second;
    }

private:
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
        void do_request_head(request_head received) override { head = std::move(received); }
        void do_body(std::string_view) override {}
        void do_end(connection_end) override { is_open = false; }
        [[nodiscard]] std::string field(std::string_view name) const {
            return std::string(head.headers.find(name).value_or(""));
        }

        repeating_server& owner;
        std::shared_ptr<tcp_connection> connection;
        message_parser parser;
        bool is_open = true;
        bool is_running = false;
        bool has_served = false;
        request_head head;
        std::string refusal;
        std::string answer;
        std::unique_ptr<timer_subscription> timer;
    };

    void serve(session& on) {
        last_expected_ = on.field("X-Expect-Instance");
        if (!id_.empty() && last_expected_ != id_) {
            refuse(on, "HTTP/1.1 421 Misdirected Request\r\n");
        } else if (to_refuse_ > 0) {
            --to_refuse_;
            refuse(on, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n");
        } else {
            run(on);
        }
    }
    static std::string id_field(const session& on) {
        return "X-Attempt-Id: " + on.field("X-Attempt-Id") + "\r\n";
    }
    void refuse(session& on, const std::string& head) {
        on.refusal =
            head + (is_named_ ? id_field(on) : std::string()) + "Content-Length: 0\r\n\r\n";
        last_refusal_ = on.refusal;
        repeats_ = repeats_ || repeats_after_refusal_;
        on.has_served = true;
        on.connection->write(on.refusal);
    }
    void run(session& on) {
        const int run = ++all_runs_;
        ++runs_[on.field("X-Attempt-Id")];
        // A copy comes on a connection that has carried another request before.
        if (std::exchange(on.has_served, true)) {
            write_copy(on);
        }
        on.answer = "HTTP/1.1 " + std::to_string(status_) + " Status\r\n" + id_field(on) +
                    "X-Upstream-Signature: s\r\n" + make_answer_(on.head, run);
        on.is_running = true;
        on.timer = loop_.once(run_time_, [&on] {
            on.is_running = false;
            if (on.is_open) {
                on.connection->write(on.answer);
            }
        });
    }
    void write_copy(session& on) {
        on.connection->write(std::exchange(before_next_, {}));
        if (repeats_answer_ && !on.answer.empty()) {
            repeats_answer_ = false;
            on.connection->write(on.answer);
        } else if (std::exchange(repeats_, false)) {
            on.connection->write(on.refusal.empty() ? last_refusal_ : on.refusal);
        }
    }

    event_loop& loop_;
    std::string id_;
    std::string last_expected_;
    bool is_named_ = true;
    millis run_time_{10};
    answer_maker make_answer_ = [](const request_head&, int) {
        return std::string("Content-Length: 2\r\n\r\nok");
    };
    int to_refuse_ = 0;
    bool repeats_ = false;
    bool repeats_after_refusal_ = false;
    bool repeats_answer_ = false;
    std::string before_next_;
    int status_ = 200;
    std::string last_refusal_;
    int all_runs_ = 0;
    std::map<std::string, int> runs_;
    std::vector<std::unique_ptr<session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
};

} // namespace jujubetide
