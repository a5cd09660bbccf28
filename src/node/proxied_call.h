#pragma once

#include "node/event_splitter.h"
#include "node/serving_state.h"

#include "jujubetide/http1/http1_server.h"
#include "jujubetide/serving/retry_policy.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// One caller's request from its acceptance to its final answer: chooses servers, sends attempts
/// and passes the answer on. The state's set of calls keeps it until it is over.
class proxied_call final : public exchange_events,
                           public call_events,
                           public std::enable_shared_from_this<proxied_call> {
public:
    struct request {
        request_head head;
        std::string body;
        call_fields fields;
        /// When its first byte came.
        time_point began{};
        std::shared_ptr<http1_exchange> exchange;
        /// What it was charged against its customer's usage cap.
        double charged = 0.0;
    };

    /// `route` is one of the routes of `config`; `customer` may be null.
    proxied_call(serving_state& state, serving_config_ptr config, const serving_route& route,
                 const serving_customer* customer, request incoming);
    void begin();
    /// The node ends: breaks the call off.
    void abandon();

protected:
    void do_caller_gone() override;
    void do_drained() override;
    [[nodiscard]] bool do_head(const response_head& head) override;
    void do_body(std::string_view bytes) override;
    void do_whole() override;
    void do_failed(call_failure how) override;

private:
    [[nodiscard]] bool is_stream() const { return route_.kind == call_kind::streaming; }
    [[nodiscard]] micros time_left() const;
    void choose_service();
    [[nodiscard]] std::optional<placement_choice> place();
    [[nodiscard]] bool is_hopeless(const placement_choice& choice) const;
    void attempt();
    void send(const placement_choice& choice);
    void take_events(std::string_view bytes);
    void begin_stream();
    void pass_whole_answer();
    void answer_failed(attempt_outcome outcome);
    void follow(next_step step, attempt_outcome outcome);
    [[nodiscard]] bool may_resend(attempt_outcome outcome);
    void end_attempt();
    void on_first_answer();
    void on_deadline();
    void on_silence();
    void watch_silence();

    void refuse(std::string_view cause, micros retry_after);
    void fail(int status, std::string_view cause);
    void break_off(std::string_view cause);
    void finish(const log_event& event, int status, std::string_view cause);

    serving_state& state_;
    serving_config_ptr config_;
    const serving_route& route_;
    const serving_customer* customer_;
    request request_;
    time_point deadline_{};
    const serving_service* service_ = nullptr;
    call_progress progress_;
    std::vector<backend_server_id> tried_;
    bool is_counted_ = false;
    /// How the last attempt ended; before the first, as if none had run.
    attempt_outcome last_outcome_ = attempt_outcome::not_run;
    /// What the log line of a failed attempt says.
    std::string last_cause_;

    // The running attempt.
    std::unique_ptr<http1_call> call_;
    backend_server server_;
    /// Servers that the last placement could choose from.
    std::size_t candidates_ = 0;
    placement_choice choice_;
    time_point sent_{};
    time_point last_event_at_{};
    micros first_event_after_{0};
    response_head head_;
    response_fields answer_;
    bool has_head_ = false;
    bool attempt_has_events_ = false;
    std::string answer_body_;
    event_splitter events_;

    std::unique_ptr<timer_subscription> deadline_timer_;
    std::unique_ptr<timer_subscription> silence_timer_;
};

} // namespace jujubetide
