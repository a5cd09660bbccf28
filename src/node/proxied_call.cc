#include "node/proxied_call.h"

#include "node/call_log_fields.h"
#include "node/forward_message.h"
#include "node/leaving_answers.h"
#include "node/node_events.h"
#include "node/server_remarks.h"
#include "node/skipped_answers.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <span>
#include <utility>

namespace jujubetide {
namespace {

constexpr int first_server_error_status = 500;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

/// Timeout for connecting to a backend server, which is in the same region.
constexpr micros connect_timeout{400'000};
/// Idle time after which a pooled connection is not reused for calls that must not be sent twice:
/// the server may be closing it.
constexpr micros max_idle_not_idempotent{1'000'000};
constexpr micros max_idle{4'000'000};
/// Minimum remaining time for which another attempt is sent.
constexpr micros min_time_for_attempt{20'000};
/// Time without an event after which a server gets no new calls for a while, and the shortest one
/// after which a stream is moved to another server.
constexpr micros min_stall_time{1'500'000};
constexpr micros stall_check_period{250'000};
/// Minimum retry delay sent to a refused caller.
constexpr micros min_retry_after{100'000};
/// Engine priorities: callers' priorities count from 0, the engines' default is 5.
constexpr int first_engine_priority = 2;
/// An engine that crashes on a prompt does so within this time of the first event.
constexpr micros engine_survival_time{100'000};
/// Maximum size of a response that is not streamed.
constexpr std::size_t max_response_bytes = 16U << 20U;

/// Whether a status means that the call was not run.
bool means_not_run(int status) {
    constexpr int request_timeout = 408;
    constexpr int misdirected = 421;
    constexpr int too_many = 429;
    return status == request_timeout || status == misdirected || status == too_many ||
           status == service_unavailable;
}

bool is_success(int status) {
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

} // namespace

proxied_call::proxied_call(serving_state& state, serving_config_ptr config,
                           const serving_route& route, const serving_customer* customer,
                           request received)
    : state_(state), config_(std::move(config)), route_(route), customer_(customer),
      request_(std::move(received)) {
    const micros timeout = request_.fields.timeout.value_or(route.timeout);
    deadline_ = request_.received_at + std::min<micros>(timeout, route.timeout);
}

void proxied_call::begin() {
    const auto alive = shared_from_this();
    state_.running_calls.insert(alive);
    const std::weak_ptr<proxied_call> weak = alive;
    deadline_timer_ = state_.timers.once(std::max(micros{0}, time_left()), [weak] {
        if (const auto call = weak.lock()) {
            call->on_deadline();
        }
    });
    choose_service();
    if (service_ == nullptr) {
        refuse("no_service", min_retry_after);
        return;
    }
    state_.retries.on_request(service_->id, state_.settings.retry_ratio * 100.0);
    state_.hedges.on_call(service_->id);
    try_next_server();
}

micros proxied_call::time_left() const {
    return deadline_ - state_.time.now();
}

std::uint64_t proxied_call::content() const {
    std::uint64_t hash = stable_hash(request_.fields.host);
    hash = stable_hash(request_.head.method, hash);
    hash = stable_hash(request_.head.target, hash);
    hash = stable_hash(customer_ != nullptr ? customer_->id.str() : std::string(), hash);
    return stable_hash(request_.body, hash);
}

void proxied_call::choose_service() {
    double total = 0.0;
    for (const weighted_service& candidate : route_.services) {
        total += candidate.weight;
    }
    double remaining_weight = state_.random.uniform() * total;
    const weighted_service* chosen = &route_.services.back();
    for (const weighted_service& candidate : route_.services) {
        if (remaining_weight < candidate.weight) {
            chosen = &candidate;
            break;
        }
        remaining_weight -= candidate.weight;
    }
    service_ = config_->find_service(chosen->service);
}

server_selector::selection proxied_call::select_server() {
    server_selector selector(state_);
    server_selector::selection selection = selector.select(
        {route_, customer_, *service_, request_.fields, request_.charged, tried_servers_,
         reached_addresses_, state_.time.now() - request_.received_at, time_left(),
         progress_.has_begun});
    candidate_count_ = selection.candidates;
    return selection;
}

bool proxied_call::end_if_crashing() {
    const auto wait = state_.crashes.blocks_calls() ? state_.crashes.refusal(suspects())
                                                    : std::optional<micros>();
    if (!wait) {
        return false;
    }
    last_cause_ = service_->engine ? "crashing_prompt" : "crashing_request";
    if (progress_.may_have_run) {
        apply_step(retry_policy::fallback_step(progress_, last_outcome_), last_outcome_);
    } else {
        refuse(last_cause_, *wait);
    }
    return true;
}

void proxied_call::try_next_server() {
    if (!end_if_crashing()) {
        send_to_next_server();
    }
}

void proxied_call::send_to_next_server() {
    if (time_left() < min_time_for_attempt) {
        apply_step(retry_policy::fallback_step(progress_, last_outcome_), last_outcome_);
        return;
    }
    if (!choose_path()) {
        return;
    }
    const server_selector::selection selection = select_server();
    if (selection.reason && !progress_.may_have_run) {
        choice_ = selection.choice.value_or(choice_); // For the log line.
        state_.hedges.on_refused(service_->id, state_.time.now());
        refuse(selection.reason->cause, selection.reason->retry_after);
        return;
    }
    if (!selection.choice) {
        if (progress_.may_have_run) {
            log_retry_withheld("no_server");
        }
        last_cause_ = last_cause_.empty() ? "no_server" : last_cause_;
        apply_step(retry_policy::fallback_step(progress_, last_outcome_), last_outcome_);
        return;
    }
    send(*selection.choice);
}

bool proxied_call::choose_path() {
    peer_.reset();
    if (!state_.links.are_lost()) {
        return true;
    }
    peer_ = state_.links.choose_peer();
    if (peer_ || state_.links.carry_answers()) {
        return true;
    }
    last_cause_ = "no_server_links";
    if (progress_.may_have_run) {
        apply_step(retry_policy::fallback_step(progress_, last_outcome_), last_outcome_);
    } else {
        const double spread = 1.0 + state_.random.uniform();
        refuse(
            last_cause_,
            std::chrono::duration_cast<micros>(
                std::chrono::duration<double, std::micro>(server_links::probe_interval) * spread));
    }
    return false;
}

void proxied_call::reset_attempt(const backend_server& server, const placement_choice& choice) {
    server_ = server;
    choice_ = choice;
    choice_.server = &server_;
    has_response_head_ = false;
    response_fields_ = {};
    attempt_has_events_ = false;
    has_engine_survived_ = false;
    skipped_answers_ = 0;
    response_body_ = {};
    event_splitter_.discard_incomplete();
    response_memory_.force(0);
    last_event_at_ = state_.time.now();
}

void proxied_call::send(const placement_choice& choice) {
    reset_attempt(*choice.server, choice);
    tried_servers_.push_back(server_.id);
    reached_addresses_.push_back(server_.address);
    sent_at_ = last_event_at_;

    state_.loads.on_sent(server_.id, choice_.prefill_tokens, choice_.held_tokens, choice_.urgency);
    state_.limits.on_sent(server_.id, state_.time.wall_now());
    state_.trials.on_sent(server_);
    if (progress_.servers_tried == 0 && progress_.undelivered_sends == 0) {
        // Engines generate tokens between the chunks of the prompts that they read: generation
        // takes places, but hardly any of the time for prompts.
        state_.demand.add(service_->id,
                          state_.engines.prefill_seconds(service_->id, choice_.prefill_tokens),
                          sent_at_);
    }
    send_request(attempt_request(choice_), attempt_options());
    start_stall_checks();
    start_hedge_timer();
}

std::string proxied_call::attempt_request(const placement_choice& choice) {
    attempt_fields fields;
    fields.server = choice.server->id;
    fields.timeout = std::max(millis{1}, to_millis(time_left()));
    if (customer_ != nullptr) {
        fields.customer = customer_->id;
    }
    if (service_->engine) {
        fields.priority = first_engine_priority + static_cast<int>(choice.urgency.value());
    }
    if (progress_.has_begun) {
        fields.last_event_id = event_splitter_.last_event_id();
    }
    if (choice.fetch) {
        fields.fetch_from = choice.fetch->source_address;
        state_.metrics.on_fetch(service_->id, choice.fetch->tokens);
    }
    state_.engines.on_sent(choice, state_.time.now());
    for (const prompt_prefix& prefix : shared_prefixes(request_.fields.prompt_parts)) {
        state_.prompts.on_own_prefix_cached(prefix.key, choice.server->id, state_.time.now());
    }
    return serialize_request(request_.head.method, request_.head.target,
                             state_.codec.server_headers(request_.head, fields), request_.body);
}

call_options proxied_call::attempt_options() const {
    call_options options;
    options.connect_timeout = std::min<micros>(connect_timeout, time_left());
    options.max_idle = retry_policy::can_rerun(route_) ? max_idle : max_idle_not_idempotent;
    options.correlation_id = request_.fields.attempt_id;
    if (request_.fields.attempt_id.empty()) {
        options.max_idle = micros{0}; // Only its connection tells an answer from a copy of another.
    }
    return options;
}

hedge_call proxied_call::own_hedge_call() const {
    const std::uint64_t size =
        service_->engine ? request_.fields.prompt_tokens : request_.body.size();
    return {hedge_class::make(service_->id, route_.kind, size), choice_.first_event};
}

void proxied_call::start_hedge_timer() {
    hedge_timer_.reset();
    const bool is_first = progress_.servers_tried == 0 && progress_.undelivered_sends == 0;
    if (!is_first || peer_ || !hedge_policy::may_hedge(route_)) {
        return;
    }
    const std::optional<micros> delay = state_.hedges.delay(own_hedge_call());
    if (!delay) {
        return;
    }
    const std::weak_ptr<proxied_call> weak = weak_from_this();
    hedge_timer_ = state_.timers.once(*delay, [weak] {
        if (const auto call = weak.lock()) {
            call->hedge_if_slow();
        }
    });
}

void proxied_call::hedge_if_slow() {
    if (!call_ || peer_ || attempt_has_events_ || progress_.servers_tried > 0 || state_.stopping ||
        state_.links.are_lost() || request_.fields.attempt_id.empty() ||
        time_left() < min_time_for_attempt || state_.crashes.is_suspected(suspects())) {
        return;
    }
    const server_selector::selection selection = select_server();
    if (!selection.choice || selection.reason) {
        return;
    }
    const hedge_verdict verdict = state_.hedges.try_hedge(
        service_->id, describe_hedge(state_, server_, *selection.choice->server),
        state_.time.now());
    const bool has_budget =
        verdict != hedge_verdict::send || state_.retries.try_spend(service_->id);
    state_.metrics.on_hedge(service_->id, has_budget ? name_of(verdict) : "no_retry_budget");
    if (verdict == hedge_verdict::send && has_budget) {
        send_hedge(*selection.choice);
    }
}

void proxied_call::send_hedge(const placement_choice& choice) {
    hedge_ = std::make_shared<hedged_attempt>(
        state_,
        hedged_attempt::order{server_.id, sent_at_, *choice.server, choice,
                              request_.fields.attempt_id, is_stream()},
        *this);
    const backend_server& second = hedge_->server();
    tried_servers_.push_back(second.id);
    reached_addresses_.push_back(second.address);
    hedge_->send(attempt_request(choice), attempt_options());
}

void proxied_call::do_hedge_won() {
    const auto alive = shared_from_this();
    if (call_) {
        const time_point now = state_.time.now();
        state_.hedges.on_cancelled(own_hedge_call(), now - sent_at_, now);
        end_attempt();
        ++progress_.servers_tried;
        progress_.may_have_run = true;
    }
    adopt_hedge();
}

void proxied_call::adopt_hedge() {
    waits_for_crash_check_ = false;
    reset_attempt(hedge_->server(), hedge_->choice());
    const std::shared_ptr<hedged_attempt> adopted = hedge_;
    hedged_attempt::adopted attempt = adopted->adopt(*this);
    call_ = std::move(attempt.call);
    connection_ = attempt.connection;
    sent_at_ = attempt.sent_at;
    peer_.reset();
    adopted->replay();
}

void proxied_call::do_hedge_failed(attempt_outcome outcome) {
    const auto alive = shared_from_this();
    const std::shared_ptr<hedged_attempt> failed = std::exchange(hedge_, nullptr);
    if (outcome == attempt_outcome::not_sent) {
        std::erase(reached_addresses_, failed->server().address);
    }
    if (outcome == attempt_outcome::not_sent || outcome == attempt_outcome::wrong_server) {
        ++progress_.undelivered_sends;
        return;
    }
    ++progress_.servers_tried;
    if (outcome != attempt_outcome::not_run) {
        progress_.may_have_run = true;
        state_.crashes.on_broken(failed->server(), suspects(), [] {});
    }
}

void proxied_call::cancel_hedge() {
    hedge_timer_.reset();
    if (!hedge_ || hedge_->is_adopted()) {
        return;
    }
    const time_point now = state_.time.now();
    state_.hedges.on_cancelled(own_hedge_call(), now - hedge_->sent_at(), now);
    ++progress_.servers_tried;
    progress_.may_have_run = true;
    hedge_.reset();
}

void proxied_call::send_request(const std::string& bytes, const call_options& options) {
    if (!peer_) {
        state_.links.on_attempt_begun();
        call_ = state_.client.call(server_.address, bytes, options, *this);
        connection_ = call_->connection();
        return;
    }
    state_.metrics.on_sent_through_peer();
    header_list headers = to_headers({server_.id, request_.fields.attempt_id, options.max_idle});
    headers.add("Host", peer_->address.str());
    call_ = state_.client.call(
        peer_->address, serialize_request("POST", forward_path, headers, bytes), options, *this);
    connection_ = call_->connection();
}

bool proxied_call::is_failed_forward(const response_head& head) {
    // A response that does not say so was made before anything was sent to the server.
    const forward_result result = read_result(head.headers).value_or(forward_result::not_sent);
    switch (result) {
    case forward_result::answered:
        return false;
    case forward_result::not_sent:
        state_.health.on_unreachable(server_.id, state_.time.now());
        on_attempt_failed(attempt_outcome::not_sent);
        return true;
    case forward_result::broken:
        on_attempt_failed(progress_.has_begun ? attempt_outcome::broken_midway
                                              : attempt_outcome::broken);
        return true;
    }
    return true;
}

void proxied_call::start_stall_checks() {
    if (!is_stream() || !retry_policy::can_rerun(route_) || stall_timer_) {
        return;
    }
    const std::weak_ptr<proxied_call> weak = weak_from_this();
    stall_timer_ = state_.timers.every(stall_check_period, stall_check_period, [weak] {
        if (const auto call = weak.lock()) {
            call->check_for_stall();
        }
    });
}

void proxied_call::check_for_stall() {
    if (!call_ || request_.exchange->is_backed_up()) {
        return;
    }
    const micros expected = attempt_has_events_ ? micros{0} : choice_.first_event * 2;
    const micros suspicious = min_stall_time + expected;
    const micros silence = state_.time.now() - last_event_at_;
    if (silence < suspicious) {
        return;
    }
    if (std::exchange(reported_silence_, last_event_at_) != last_event_at_) {
        if (!peer_) {
            state_.health.on_unreachable(server_.id, state_.time.now());
        }
        log_silent_server();
        withheld_cause_ = {};
    }
    if (silence >= std::max(suspicious, max_silence())) {
        leave_silent_server();
    }
}

micros proxied_call::max_silence() const {
    // Another server needs up to the route's target for its first event, and time for the others.
    const micros for_caller =
        retry_policy::caller_patience(route_) - route_.target - stall_check_period;
    return std::min<micros>(for_caller, (deadline_ - last_event_at_) / 2);
}

void proxied_call::leave_silent_server() {
    const attempt_outcome outcome =
        progress_.has_begun ? attempt_outcome::broken_midway : attempt_outcome::broken;
    if (hedge_ && !hedge_->is_adopted()) {
        on_attempt_failed(outcome);
        return;
    }
    call_progress after = progress_;
    ++after.servers_tried;
    if (retry_policy::decide(route_, after, outcome) != next_step::resend) {
        return;
    }
    // The server may go on: its attempt ends only if another one can be made.
    if (state_.links.are_lost() && !state_.links.choose_peer()) {
        log_retry_withheld("no_server_links");
    } else if (!select_server().choice) {
        log_retry_withheld("no_server");
    } else if (state_.crashes.blocks_calls() && state_.crashes.refusal(suspects())) {
        log_retry_withheld("crashing_prompt");
    } else if (can_resend(outcome)) {
        const auto alive = shared_from_this();
        record_failed_attempt(outcome);
        send_to_next_server();
    }
}

void proxied_call::log_silent_server() const {
    state_.log.write(server_silent, {{"id", request_.fields.attempt_id},
                                     {"server", server_.id.str()},
                                     {"through", peer_ ? peer_->node.str() : "-"},
                                     {"silent_ms", ms_text(state_.time.now() - last_event_at_)},
                                     {"events", std::to_string(event_splitter_.event_count())},
                                     {"estimate_ms", ms_text(choice_.first_event)},
                                     {"left_ms", ms_text(time_left())},
                                     {"servers_tried", std::to_string(progress_.servers_tried)},
                                     {"stopping", state_.stopping ? "yes" : "no"}});
}

bool proxied_call::do_head(const response_head& head) {
    if (peer_) {
        const auto alive = shared_from_this();
        if (is_failed_forward(head)) {
            return true;
        }
    } else {
        state_.links.on_bytes();
    }
    response_fields_ = state_.codec.read_response(head);
    const bool success = is_success(head.status);
    const bool is_for_this_call = response_fields_.attempt_id == request_.fields.attempt_id;
    if (!is_for_this_call && !response_fields_.attempt_id.empty()) {
        log_skipped_answer(state_, request_.fields.attempt_id, server_.id, response_fields_, head);
        ++skipped_answers_;
        return false; // A late response to another call.
    }
    if (response_fields_.attempt_id.empty() && !is_first_answer_on_connection()) {
        state_.log.write(unnamed_answer_rejected, {{"id", request_.fields.attempt_id},
                                                   {"server", server_.id.str()},
                                                   {"status", std::to_string(head.status)}});
        on_attempt_failed(progress_.has_begun ? attempt_outcome::broken_midway
                                              : attempt_outcome::broken);
        return true;
    }
    response_head_ = head;
    response_head_.headers = without_result(head.headers);
    has_response_head_ = true;
    apply_server_limit(state_, server_, response_fields_);
    apply_brittleness(state_, server_, response_fields_);
    apply_leaving_notice(state_, server_, response_fields_);
    if (progress_.has_begun && !response_fields_.not_run && head.status != begun_status_) {
        // The caller has the head of a stream; nothing of this answer may follow it.
        on_attempt_failed(attempt_outcome::error_answer);
        return true;
    }
    // A success that says that it was not run contradicts itself.
    if (success && (response_fields_.not_run || !is_for_this_call || !response_fields_.is_signed ||
                    response_fields_.is_encoded)) {
        on_attempt_failed(attempt_outcome::broken);
        return true;
    }
    const std::uint64_t length =
        head.framing == body_framing::length && !(is_stream() && success) ? head.content_length : 0;
    if (length > max_response_bytes || !response_memory_.fits(length)) {
        on_answer_too_large(length);
        return true;
    }
    response_body_.reserve(length); // Growing would take twice as much.
    return true;
}

bool proxied_call::is_first_answer_on_connection() {
    if (peer_ || connection_.earlier_calls > 0) {
        return false;
    }
    // The next call could not tell a copy of this answer from its own.
    call_->prevent_reuse();
    return true;
}

void proxied_call::do_body(std::string_view bytes) {
    if (!has_response_head_) {
        return;
    }
    if (!peer_) {
        state_.links.on_bytes();
    }
    if (is_stream() && is_success(response_head_.status)) {
        forward_events(bytes);
        return;
    }
    const std::size_t size = response_body_.size() + bytes.size();
    if (size > max_response_bytes || !response_memory_.resize(size)) {
        on_answer_too_large(size);
        return;
    }
    response_body_ += bytes;
}

void proxied_call::on_answer_too_large(std::size_t bytes) {
    const memory_budget& buffers = state_.client.buffers();
    state_.log.write(answer_too_large, {{"id", request_.fields.attempt_id},
                                        {"server", server_.id.str()},
                                        {"bytes", absl::StrCat(bytes)},
                                        {"buffered", absl::StrCat(buffers.used())},
                                        {"limit", absl::StrCat(buffers.limit())}});
    on_attempt_failed(progress_.has_begun ? attempt_outcome::broken_midway
                                          : attempt_outcome::broken);
}

void proxied_call::forward_events(std::string_view bytes) {
    const std::string complete_events = event_splitter_.feed(bytes);
    const std::size_t incomplete = event_splitter_.incomplete().size();
    if (incomplete > event_splitter::max_event_bytes || !response_memory_.resize(incomplete)) {
        on_answer_too_large(incomplete);
        return;
    }
    if (complete_events.empty()) {
        return;
    }
    const time_point now = state_.time.now();
    if (progress_.has_begun) {
        longest_pause_ = std::max(longest_pause_, now - last_passed_at_);
    }
    last_event_at_ = now;
    last_passed_at_ = now;
    if (!attempt_has_events_) {
        attempt_has_events_ = true;
        first_event_latency_ = last_event_at_ - sent_at_;
        cancel_hedge();
        state_.hedges.on_answer(own_hedge_call(), first_event_latency_, last_event_at_);
        state_.metrics.on_first_event(service_->id, first_event_latency_);
        state_.loads.on_begun(server_.id, choice_.prefill_tokens);
        state_.engines.on_first_event(choice_, last_event_at_ - sent_at_);
        count_usage_once();
    }
    if (last_event_at_ - sent_at_ - first_event_latency_ >= engine_survival_time) {
        check_engine_survived();
    }
    if (!progress_.has_begun) {
        begin_stream_response();
    }
    request_.exchange->write(complete_events);
    if (request_.exchange->is_backed_up() && call_) {
        call_->pause();
    }
}

void proxied_call::begin_stream_response() {
    progress_.has_begun = true;
    begun_status_ = response_head_.status;
    request_.exchange->begin(response_head_.status, state_.codec.caller_headers(response_head_),
                             body_framing::chunked, 0);
}

void proxied_call::count_usage_once() {
    if (!is_usage_counted_ && customer_ != nullptr) {
        is_usage_counted_ = true;
        const millis since_sent = is_stream() ? millis{0} : to_millis(state_.time.now() - sent_at_);
        state_.usage.count(customer_->id, state_.time.wall_now() - since_sent);
    }
}

void proxied_call::do_complete() {
    const auto alive = shared_from_this();
    if (!has_response_head_) {
        on_attempt_failed(attempt_outcome::broken);
        return;
    }
    if (response_fields_.not_run) {
        on_attempt_failed(response_fields_.wrong_server ? attempt_outcome::wrong_server
                                                        : attempt_outcome::not_run);
        return;
    }
    count_usage_once();
    if (is_truncated()) {
        on_connection_broken();
        return;
    }
    if (is_success(response_head_.status)) {
        state_.health.on_success(server_.id, state_.time.now());
        const micros latency = is_stream() ? first_event_latency_ : state_.time.now() - sent_at_;
        if (!is_stream()) {
            state_.hedges.on_answer(own_hedge_call(), latency, state_.time.now());
        }
        record_trial_answer(latency > route_.target);
        if (!service_->engine) {
            state_.plain.on_first_event(choice_, latency);
        }
        check_engine_survived();
        if (is_stream()) {
            state_.engines.on_ended(choice_, state_.time.now() - sent_at_);
            if (!progress_.has_begun) {
                begin_stream_response();
            }
            request_.exchange->finish();
            finish(call_ended, response_head_.status, "whole");
            return;
        }
        forward_response();
        return;
    }
    if (response_head_.status >= first_server_error_status &&
        !means_not_run(response_head_.status)) {
        on_attempt_failed(attempt_outcome::error_answer);
        return;
    }
    if (means_not_run(response_head_.status)) {
        // Without the header that states it, the status does not prove that the call was not run.
        on_attempt_failed(attempt_outcome::broken);
        return;
    }
    forward_response();
}

bool proxied_call::is_truncated() const {
    if (!is_success(response_head_.status)) {
        return false;
    }
    // The end of a connection shows only by its position whether the body was complete.
    const bool has_body = is_stream() ? attempt_has_events_ : !response_body_.empty();
    const bool ended_before_body = !has_body && response_head_.framing == body_framing::until_close;
    return ended_before_body || (is_stream() && !event_splitter_.incomplete().empty());
}

void proxied_call::forward_response() {
    const body_framing framing =
        response_head_.framing == body_framing::none ? body_framing::none : body_framing::length;
    request_.exchange->begin(response_head_.status, state_.codec.caller_headers(response_head_),
                             framing, response_body_.size());
    request_.exchange->write(response_body_);
    request_.exchange->finish();
    finish(call_ended, response_head_.status,
           is_success(response_head_.status) ? "whole" : "server_error");
}

void proxied_call::do_failed(call_failure failure) {
    const auto alive = shared_from_this();
    if (failure == call_failure::not_connected) {
        if (peer_) {
            state_.links.on_peer_unreachable(peer_->node);
        } else {
            state_.health.on_unreachable(server_.id, state_.time.now());
            state_.links.on_connect_failed();
        }
        on_attempt_failed(attempt_outcome::not_sent);
        return;
    }
    on_connection_broken();
}

void proxied_call::on_connection_broken() {
    const attempt_outcome outcome =
        progress_.has_begun ? attempt_outcome::broken_midway : attempt_outcome::broken;
    if (peer_ || has_engine_survived_) {
        on_attempt_failed(outcome);
        return;
    }
    record_failed_attempt(outcome);
    waits_for_crash_check_ = true;
    const std::weak_ptr<proxied_call> weak = weak_from_this();
    state_.crashes.on_broken(server_, suspects(), [weak, outcome] {
        const auto call = weak.lock();
        if (call && std::exchange(call->waits_for_crash_check_, false)) {
            call->continue_after(outcome);
        }
    });
}

void proxied_call::check_engine_survived() {
    const bool had_survived = std::exchange(has_engine_survived_, true);
    if (!had_survived &&
        (request_.fields.prompt_parts.size() > 1 || state_.crashes.has_evidence())) {
        state_.crashes.on_answered(suspects());
    }
}

void proxied_call::stop_before_answer() {
    if (call_ && !attempt_has_events_) {
        record_failed_attempt(progress_.has_begun ? attempt_outcome::broken_midway
                                                  : attempt_outcome::broken);
        last_cause_ = service_->engine ? "crashing_prompt" : "crashing_request";
        apply_step(retry_policy::fallback_step(progress_, last_outcome_), last_outcome_);
    }
}

void proxied_call::on_links_lost() {
    cancel_hedge();
    const bool is_silent = state_.time.now() - last_event_at_ >= server_links::stall_limit;
    if (call_ && !peer_ && is_silent && retry_policy::can_rerun(route_)) {
        on_attempt_failed(progress_.has_begun ? attempt_outcome::broken_midway
                                              : attempt_outcome::broken);
    }
}

void proxied_call::on_attempt_failed(attempt_outcome outcome) {
    const auto alive = shared_from_this();
    record_failed_attempt(outcome);
    continue_after(outcome);
}

void proxied_call::record_failed_attempt(attempt_outcome outcome) {
    const time_point now = state_.time.now();
    const micros duration = now - sent_at_;
    const bool began = attempt_has_events_;
    const std::uint32_t server_calls = state_.loads.total(server_.id).running;
    end_attempt();
    event_splitter_.discard_incomplete();
    response_memory_.force(response_body_.size());
    switch (outcome) {
    case attempt_outcome::not_sent:
        ++progress_.undelivered_sends;
        std::erase(reached_addresses_, server_.address);
        break;
    case attempt_outcome::wrong_server:
        ++progress_.undelivered_sends;
        state_.health.on_unreachable(server_.id, now); // Another server has its address.
        break;
    case attempt_outcome::not_run:
        ++progress_.servers_tried;
        state_.brittle.on_rejected(server_.id, now);
        state_.health.on_bad_answer(server_.id, now);
        state_.hedges.on_refused(service_->id, now);
        break;
    case attempt_outcome::error_answer:
    case attempt_outcome::broken:
    case attempt_outcome::broken_midway:
        ++progress_.servers_tried;
        progress_.may_have_run = true;
        count_usage_once();
        state_.health.on_bad_answer(server_.id, now);
        record_trial_answer(true);
        break;
    }
    last_outcome_ = outcome;
    last_cause_ = name_of(outcome);
    state_.metrics.on_attempt(service_->id, last_cause_);
    state_.log.write(attempt_over,
                     {{"id", request_.fields.attempt_id},
                      {"server", server_.id.str()},
                      {"through", peer_ ? peer_->node.str() : "-"},
                      {"address", server_.address.str()},
                      {"connection", std::to_string(connection_.connection)},
                      {"earlier_calls", std::to_string(connection_.earlier_calls)},
                      {"skipped_answers", std::to_string(skipped_answers_)},
                      {"outcome", last_cause_},
                      {"status", has_response_head_ ? std::to_string(response_head_.status) : "-"},
                      {"ms", ms_text(duration)},
                      {"began", began ? "yes" : "no"},
                      {"server_calls", std::to_string(server_calls)},
                      {"server_limit", limit_text(response_fields_)},
                      {"parts", shared_part_ids(request_.fields.prompt_parts)},
                      {"content", absl::StrCat(absl::Hex(content()))},
                      {"servers_tried", std::to_string(progress_.servers_tried)}});
}

void proxied_call::record_trial_answer(bool is_bad) {
    if (state_.trials.on_answer(server_, is_bad)) {
        state_.log.write(version_stopped, {{"service", server_.service.str()},
                                           {"version", server_.version.str()},
                                           {"from", "answer"}});
    }
}

void proxied_call::continue_after(attempt_outcome outcome) {
    const auto alive = shared_from_this();
    if (hedge_ && !hedge_->is_adopted()) {
        if (!end_if_crashing()) {
            adopt_hedge(); // It goes on as the call's only attempt.
        }
        return;
    }
    next_step step = retry_policy::decide(route_, progress_, outcome);
    if (step == next_step::resend && !can_resend(outcome)) {
        step = retry_policy::fallback_step(progress_, outcome);
    }
    apply_step(step, outcome);
}

bool proxied_call::can_resend(attempt_outcome outcome) {
    if (time_left() < min_time_for_attempt) {
        log_retry_withheld("no_time");
        return false;
    }
    if (outcome == attempt_outcome::not_sent) {
        return true;
    }
    if (!state_.retries.try_spend(service_->id)) {
        log_retry_withheld("retry_budget");
        return false;
    }
    state_.metrics.on_retry(service_->id);
    if (progress_.has_begun) {
        state_.metrics.on_resume(service_->id);
    }
    return true;
}

void proxied_call::log_retry_withheld(std::string_view cause) {
    if (std::exchange(withheld_cause_, cause) == cause) {
        return; // Each check of a silent server tries again.
    }
    state_.log.write(retry_withheld, {{"id", request_.fields.attempt_id},
                                      {"service", service_->id.str()},
                                      {"cause", std::string(cause)},
                                      {"began", progress_.has_begun ? "yes" : "no"},
                                      {"servers_tried", std::to_string(progress_.servers_tried)}});
}

void proxied_call::apply_step(next_step step, attempt_outcome outcome) {
    switch (step) {
    case next_step::resend:
        try_next_server();
        return;
    case next_step::refuse:
        refuse(last_cause_, min_retry_after);
        return;
    case next_step::fail:
        fail(bad_gateway, last_cause_);
        return;
    case next_step::forward_error:
        if (outcome == attempt_outcome::error_answer && has_response_head_) {
            forward_response();
            return;
        }
        fail(bad_gateway, last_cause_);
        return;
    case next_step::abort_answer:
        abort_response(last_cause_);
        return;
    }
}

void proxied_call::end_attempt() {
    if (sent_at_ == time_point{}) {
        return;
    }
    call_.reset();
    if (hedge_ && hedge_->is_adopted()) {
        hedge_->stop();
        hedge_.reset();
    }
    if (!peer_) {
        state_.links.on_attempt_ended();
    }
    state_.loads.on_ended(server_.id, attempt_has_events_ ? 0 : choice_.prefill_tokens,
                          choice_.held_tokens, choice_.urgency);
    sent_at_ = {};
}

void proxied_call::abandon() {
    const auto alive = shared_from_this();
    if (progress_.has_begun) {
        abort_response("node_ends");
    } else if (call_ || progress_.may_have_run) {
        fail(gateway_timeout, "node_ends");
    } else {
        refuse("node_ends", min_retry_after);
    }
}

void proxied_call::do_caller_disconnected() {
    const auto alive = shared_from_this();
    finish(call_left, 0, progress_.has_begun ? "mid_answer" : "before_answer");
}

void proxied_call::do_drained() {
    if (call_) {
        last_event_at_ = state_.time.now(); // The server had to wait for the caller until now.
        call_->resume();
    }
}

void proxied_call::on_deadline() {
    const auto alive = shared_from_this();
    if (progress_.has_begun) {
        abort_response("timeout");
    } else if (call_ || progress_.may_have_run) {
        fail(gateway_timeout, "timeout");
    } else {
        refuse("timeout", min_retry_after);
    }
}

void proxied_call::refuse(std::string_view cause, micros retry_after) {
    if (customer_ != nullptr && request_.charged > 0.0) {
        state_.caps.refund(*customer_, request_.charged, state_.time.now());
    }
    request_.exchange->respond(
        service_unavailable,
        state_.codec.local_response_headers(request_.fields.attempt_id,
                                            std::max(retry_after, min_retry_after)),
        R"({"error":"not run, try again later"})");
    finish(call_refused, service_unavailable, cause);
}

void proxied_call::fail(int status, std::string_view cause) {
    request_.exchange->respond(status,
                               state_.codec.local_response_headers(request_.fields.attempt_id, {}),
                               R"({"error":"the backend server gave no whole answer"})");
    finish(call_failed, status, cause);
}

void proxied_call::abort_response(std::string_view cause) {
    request_.exchange->abort();
    finish(call_failed, response_head_.status, cause);
}

void proxied_call::finish(const log_event& event, int status, std::string_view cause) {
    const auto alive = shared_from_this();
    state_.metrics.on_call(service_ != nullptr ? service_->id : service_id(), event.name, cause,
                           state_.time.now() - request_.received_at);
    state_.log.write(event, {{"id", request_.fields.attempt_id},
                             {"route", route_.id.str()},
                             {"service", service_ != nullptr ? service_->id.str() : "-"},
                             {"customer", customer_ != nullptr ? customer_->id.str() : "-"},
                             {"server", server_.id.str()},
                             {"through", peer_ ? peer_->node.str() : "-"},
                             {"status", std::to_string(status)},
                             {"cause", std::string(cause)},
                             {"ms", ms_text(state_.time.now() - request_.received_at)},
                             {"estimate_ms", ms_text(choice_.first_event)},
                             {"first_event_ms", ms_text(first_event_latency_)},
                             {"longest_pause_ms", ms_text(longest_pause_)},
                             {"target_ms", std::to_string(route_.target.count())},
                             {"charged", std::to_string(std::llround(request_.charged))},
                             {"candidates", std::to_string(candidate_count_)},
                             {"unread_tokens", std::to_string(choice_.prefill_tokens)},
                             {"fetch_from", choice_.fetch ? choice_.fetch->source.str() : "-"},
                             {"parts", shared_part_ids(request_.fields.prompt_parts)},
                             {"events", std::to_string(event_splitter_.event_count())},
                             {"framing", std::string(name_of(response_head_.framing))},
                             {"server_limit", limit_text(response_fields_)},
                             {"servers_tried", std::to_string(progress_.servers_tried)},
                             {"config", std::to_string(config_->version())}});
    end_attempt();
    cancel_hedge();
    waits_for_crash_check_ = false;
    deadline_timer_.reset();
    stall_timer_.reset();
    state_.running_calls.erase(alive);
}

} // namespace jujubetide
