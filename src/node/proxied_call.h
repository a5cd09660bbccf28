#pragma once

#include "node/event_splitter.h"
#include "node/hedged_attempt.h"
#include "node/server_selector.h"
#include "node/serving_state.h"

#include "jujubetide/base/memory_share.h"
#include "jujubetide/http1/http1_server.h"
#include "jujubetide/serving/retry_policy.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jujubetide {

/// One caller's request from its acceptance to its final response: chooses servers, sends attempts
/// and forwards the response. `serving_state::running_calls` owns it until it has ended.
class proxied_call final : public exchange_events,
                           public call_events,
                           public hedge_events,
                           public std::enable_shared_from_this<proxied_call> {
public:
    struct request {
        request_head head;
        std::string body;
        call_fields fields;
        /// When its first byte was received.
        time_point received_at{};
        std::shared_ptr<http1_exchange> exchange;
        /// The amount charged against the customer's usage cap.
        double charged = 0.0;
    };

    /// `route` is one of the routes of `config`; `customer` may be null.
    proxied_call(serving_state& state, serving_config_ptr config, const serving_route& route,
                 const serving_customer* customer, request received);
    void begin();
    /// What may be the cause if its server crashes.
    [[nodiscard]] crash_suspects suspects() const {
        return {request_.fields.prompt_parts, content()};
    }
    /// Cancels the running attempt and fails the call, unless the answer has begun.
    void stop_before_answer();
    /// The node has lost its links to the servers: ends an attempt over a connection that has been
    /// silent, so that it is sent again where the call may run twice.
    void on_links_lost();
    /// Ends the call because the node shuts down: with its final status unless the answer has
    /// begun.
    void abandon();

protected:
    void do_caller_disconnected() override;
    void do_drained() override;
    [[nodiscard]] bool do_head(const response_head& head) override;
    void do_body(std::string_view bytes) override;
    void do_complete() override;
    void do_failed(call_failure failure) override;
    void do_hedge_won() override;
    void do_hedge_failed(attempt_outcome outcome) override;

private:
    [[nodiscard]] bool is_stream() const { return route_.kind == call_kind::streaming; }
    [[nodiscard]] micros time_left() const;
    /// Identifies the host, path, customer and body of the call over all calls.
    [[nodiscard]] std::uint64_t content() const;
    void choose_service();
    /// The server for the next attempt, or why there is none.
    [[nodiscard]] server_selector::selection select_server();
    /// Whether an answer without an attempt id can only belong to this call; its connection is not
    /// used again then.
    [[nodiscard]] bool is_first_answer_on_connection();
    /// Chooses whether the next attempt is sent through a peer; refuses or fails the call and
    /// returns false if no server can be reached either way.
    [[nodiscard]] bool choose_path();
    void try_next_server();
    void send_to_next_server();
    /// Ends the call if calls like it crash servers; returns whether it has.
    [[nodiscard]] bool end_if_crashing();
    void send(const placement_choice& choice);
    /// Begins the state of an attempt that is sent to `server`.
    void reset_attempt(const backend_server& server, const placement_choice& choice);
    [[nodiscard]] std::string attempt_request(const placement_choice& choice);
    [[nodiscard]] call_options attempt_options() const;
    [[nodiscard]] hedge_call own_hedge_call() const;
    void start_hedge_timer();
    void hedge_if_slow();
    void send_hedge(const placement_choice& choice);
    /// Makes the second attempt the call's current one; the first one has ended.
    void adopt_hedge();
    /// Cancels the second attempt unless it is the current one; there will be none.
    void cancel_hedge();
    /// Sends the attempt's request on the node's own connection or through a peer.
    void send_request(const std::string& bytes, const call_options& options);
    /// Whether the response of a peer only tells that it has no answer of the server; handles it.
    bool is_failed_forward(const response_head& head);
    void forward_events(std::string_view bytes);
    void begin_stream_response();
    /// Whether the successful response that has just ended lacks a part of its body.
    [[nodiscard]] bool is_truncated() const;
    void forward_response();
    /// The answer has at least `bytes` that the node would have to buffer, and may not.
    void on_answer_too_large(std::size_t bytes);
    void on_attempt_failed(attempt_outcome outcome);
    /// The connection broke after the request was sent.
    void on_connection_broken();
    void record_failed_attempt(attempt_outcome outcome);
    /// Counts the answer where the server's version is on trial.
    void record_trial_answer(bool is_bad);
    void continue_after(attempt_outcome outcome);
    /// Records once that the engine survived the start of the answer.
    void check_engine_survived();
    void apply_step(next_step step, attempt_outcome outcome);
    [[nodiscard]] bool can_resend(attempt_outcome outcome);
    void log_retry_withheld(std::string_view cause);
    void end_attempt();
    void count_usage_once();
    void on_deadline();
    void check_for_stall();
    /// Time without an event after which the stream is moved to another server.
    [[nodiscard]] micros max_silence() const;
    /// Moves the stream to another server if one may take it; else the attempt goes on.
    void leave_silent_server();
    void log_silent_server() const;
    void start_stall_checks();

    void refuse(std::string_view cause, micros retry_after);
    void fail(int status, std::string_view cause);
    void abort_response(std::string_view cause);
    void finish(const log_event& event, int status, std::string_view cause);

    serving_state& state_;
    serving_config_ptr config_;
    const serving_route& route_;
    const serving_customer* customer_;
    request request_;
    time_point deadline_{};
    const serving_service* service_ = nullptr;
    call_progress progress_;
    std::vector<backend_server_id> tried_servers_;
    /// Addresses at which an attempt may have arrived.
    std::vector<endpoint> reached_addresses_;
    bool is_usage_counted_ = false;
    /// The outcome of the last attempt; `not_run` before the first one.
    attempt_outcome last_outcome_ = attempt_outcome::not_run;
    /// The name of the last failure, for log lines and metrics.
    std::string last_cause_;

    std::unique_ptr<timer_subscription> hedge_timer_;
    /// The second attempt; also while it is the current one, as it passes on the events of `call_`.
    std::shared_ptr<hedged_attempt> hedge_;

    // State of the current attempt.
    std::unique_ptr<http1_call> call_;
    /// The connection to the server, or to the peer.
    connection_use connection_;
    /// Answers to other calls that came in place of this one's.
    int skipped_answers_ = 0;
    /// The peer through which the attempt is sent; empty for the node's own connection.
    std::optional<forwarding_peer> peer_;
    backend_server server_;
    /// Number of usable servers at the last placement.
    std::size_t candidate_count_ = 0;
    placement_choice choice_;
    time_point sent_at_{};
    time_point last_event_at_{};
    /// When events were last passed on to the caller, over all attempts.
    time_point last_passed_at_{};
    micros longest_pause_{0};
    /// The value of `last_event_at_` for which the server's silence was reported.
    time_point reported_silence_{};
    /// Why the call was not sent to another server, as last logged; static text.
    std::string_view withheld_cause_;
    micros first_event_latency_{0};
    response_head response_head_;
    response_fields response_fields_;
    bool has_response_head_ = false;
    /// The status of the stream that the caller receives; 0 before it has begun.
    int begun_status_ = 0;
    bool attempt_has_events_ = false;
    bool has_engine_survived_ = false;
    /// Waits to learn whether the server of the last attempt has crashed.
    bool waits_for_crash_check_ = false;
    std::string response_body_;
    event_splitter event_splitter_;
    /// What the two above take.
    memory_share response_memory_{state_.client.buffers(), memory_use::traffic};

    std::unique_ptr<timer_subscription> deadline_timer_;
    std::unique_ptr<timer_subscription> stall_timer_;
};

} // namespace jujubetide
