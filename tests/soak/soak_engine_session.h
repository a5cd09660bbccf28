#pragma once

#include "jujubetide/http1/message_parser.h"
#include "jujubetide/net/tcp_connection.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

class soak_engine;
class timer_subscription;

/// One connection of a `soak_engine`: one request at a time, and copies of earlier answers.
class soak_engine_session final : public connection_events, public message_events {
public:
    soak_engine_session(soak_engine& engine, std::shared_ptr<tcp_connection> connection);
    ~soak_engine_session() override;
    soak_engine_session(const soak_engine_session&) = delete;
    soak_engine_session& operator=(const soak_engine_session&) = delete;

    [[nodiscard]] bool is_open() const { return is_open_; }
    /// Whether the connection has ended and no request of it waits or runs.
    [[nodiscard]] bool is_over() const { return !is_open_ && stage_ == stage::idle; }
    /// Begins the request that was admitted.
    void run();

protected:
    void do_data(std::string_view bytes) override;
    void do_request_head(request_head head) override;
    void do_body(std::string_view) override {}
    void do_end(connection_end end) override;

private:
    enum class stage { idle, waiting, running, answered };
    struct past_answer {
        std::string attempt;
        std::string named;
        std::string unnamed;
    };

    void read_requests();
    void read_on();
    void decide();
    void write_late_copy();
    void write_copy(const past_answer& answer);
    void answer_own_path();
    void refuse(int status);
    void end_waiting();
    void answer();
    /// An answer that breaks off, or bytes that are none. Whether one was chosen.
    bool answer_faultily();
    /// Such an answer looks whole wherever its connection ends.
    void report_until_close();
    void begin_stream();
    void send_event();
    void write_answer(int status, const std::string& body);
    /// Keeps an answer for copies, and may write one soon.
    void keep(const std::string& named, const std::string& unnamed, bool is_refusal);
    void end_request();
    void write(std::string_view bytes);
    void shut(bool resets);
    void wait_idle();

    soak_engine& engine_;
    std::shared_ptr<tcp_connection> connection_;
    message_parser parser_;
    std::string buffer_;
    request_head head_;
    std::string attempt_;
    stage stage_ = stage::idle;
    bool is_open_ = true;
    bool is_read_ = false;
    bool holds_slot_ = false;
    bool closes_ = false;
    int next_event_ = 0;
    int last_event_ = 0;
    bool is_chunked_ = true;
    std::vector<past_answer> answers_;
    std::unique_ptr<timer_subscription> timer_;
    std::unique_ptr<timer_subscription> deadline_;
    std::unique_ptr<timer_subscription> pause_;
    std::unique_ptr<timer_subscription> copying_;
};

} // namespace jujubetide
