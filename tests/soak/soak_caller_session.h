#pragma once

#include "jujubetide/http1/message_parser.h"
#include "jujubetide/net/tcp_connection.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace jujubetide {

class soak_caller;
class timer_subscription;

/// One connection after the other of a `soak_caller`, each with requests one after the other.
class soak_caller_session final : public connection_events, public message_events {
public:
    explicit soak_caller_session(soak_caller& caller);
    ~soak_caller_session() override;
    soak_caller_session(const soak_caller_session&) = delete;
    soak_caller_session& operator=(const soak_caller_session&) = delete;

protected:
    void do_connected() override;
    void do_data(std::string_view bytes) override;
    void do_response_head(response_head head) override;
    void do_body(std::string_view bytes) override { body_.append(bytes); }
    void do_end(connection_end end) override;

private:
    void connect();
    /// Leaves the connection and opens another one after `pause`.
    void leave(micros pause, bool resets);
    void begin_requests();
    void send(const std::string& route);
    void write_rest();
    void after_sending();
    void take_answer();
    void check_success(const std::string& id) const;
    void fail_waiting();
    /// Plans another attempt of a request whose attempt has ended.
    void retry_later(const std::string& id, micros pause);
    [[nodiscard]] std::size_t body_size();
    [[nodiscard]] std::string request_of(const std::string& route, const std::string& id);

    soak_caller& caller_;
    message_parser parser_;
    endpoint node_;
    std::shared_ptr<tcp_connection> connection_;
    bool is_connected_ = false;
    std::deque<std::string> waiting_;
    std::string unsent_;
    response_head head_;
    std::string body_;
    std::string retried_route_;
    int retries_ = 0;
    std::unique_ptr<timer_subscription> timer_;
    std::unique_ptr<timer_subscription> writing_;
    std::unique_ptr<timer_subscription> leaving_;
    std::unique_ptr<timer_subscription> giving_up_;
};

} // namespace jujubetide
