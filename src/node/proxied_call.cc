#include "node/proxied_call.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubetide {
namespace {

constexpr int server_errors = 500;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

/// Longest time until a connection to a backend server stands; both are in the same region.
constexpr micros connect_timeout{400'000};
/// Idle time after which a kept connection is not used for calls that may not be sent twice: the
/// server may be closing it.
constexpr micros max_idle_once{1'000'000};
constexpr micros max_idle{4'000'000};
/// Shortest time left in which another attempt makes sense.
constexpr micros least_time_for_attempt{20'000};
/// Part of the target that any call may wait for others.
constexpr int least_wait_divisor = 3;
/// Silence of a server after which a stream that may be resumed goes on elsewhere.
constexpr micros longest_silence{1'500'000};
constexpr micros silence_check_period{250'000};
/// Shortest wait that a refused caller is told.
constexpr micros least_retry_after{100'000};
/// Server time that an output token costs in a batch of usual size, in seconds.
constexpr double seconds_per_output_token = 0.0009;
/// Engine priorities: callers' priorities count from 0, the engines' default is 5.
constexpr int first_engine_priority = 2;
constexpr int last_engine_priority = 9;
/// Longest answer of a plain service.
constexpr std::size_t max_answer_bytes = 16U << 20U;

/// Statuses that promise that a call has not run.
bool promises_not_run(int status) {
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

std::string ms_text(micros duration) {
    return std::to_string(to_millis(duration).count());
}

std::string_view name_of(body_framing framing) {
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "unknown";
}

std::string_view name_of(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::wrong_server:
        return "wrong_server";
    case attempt_outcome::error_answer:
        return "error_answer";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::broken_midway:
        return "broken_midway";
    }
    return "unknown";
}

} // namespace

proxied_call::proxied_call(serving_state& state, serving_config_ptr config,
                           const serving_route& route, const serving_customer* customer,
                           request incoming)
    : state_(state), config_(std::move(config)), route_(route), customer_(customer),
      request_(std::move(incoming)) {
    const micros patience = request_.fields.timeout.value_or(route.timeout);
    deadline_ = request_.began + std::min<micros>(patience, route.timeout);
}

void proxied_call::begin() {
    const auto alive = shared_from_this();
    state_.calls.insert(alive);
    const std::weak_ptr<proxied_call> weak = alive;
    deadline_timer_ = state_.timers.once(std::max(micros{0}, time_left()), [weak] {
        if (const auto call = weak.lock()) {
            call->on_deadline();
        }
    });
    choose_service();
    if (service_ == nullptr) {
        refuse("no_service", least_retry_after);
        return;
    }
    state_.retries.on_request(service_->id, state_.settings.retry_ratio * 100.0);
    attempt();
}

micros proxied_call::time_left() const {
    return deadline_ - state_.time.now();
}

void proxied_call::choose_service() {
    double total = 0.0;
    for (const weighted_service& one : route_.services) {
        total += one.weight;
    }
    double drawn = state_.random.uniform() * total;
    const weighted_service* chosen = &route_.services.back();
    for (const weighted_service& one : route_.services) {
        if (drawn < one.weight) {
            chosen = &one;
            break;
        }
        drawn -= one.weight;
    }
    service_ = config_->find_service(chosen->service);
}

std::optional<placement_choice> proxied_call::place() {
    placement_query query;
    query.service = service_;
    query.parts = request_.fields.prompt_parts;
    query.prompt_tokens = request_.fields.prompt_tokens;
    query.output_tokens = std::min(
        request_.fields.max_output_tokens,
        request_.fields.expected_output_tokens.value_or(request_.fields.max_output_tokens));
    query.tried = tried_;
    query.now = state_.time.now();
    const auto candidates = state_.backends.usable(service_->id);
    candidates_ = candidates.size();
    if (service_->engine) {
        return state_.engines.choose(query, candidates);
    }
    return state_.plain.choose(query, candidates);
}

bool proxied_call::is_hopeless(const placement_choice& choice) const {
    if (!is_stream() || progress_.has_begun) {
        return false;
    }
    const micros waited = state_.time.now() - request_.began;
    const micros reading = choice.first_event - choice.waiting;
    // A prompt that is too long for its target by itself still gets a share of the time.
    const micros allowed =
        std::max<micros>(route_.target - reading - waited, route_.target / least_wait_divisor);
    return choice.waiting > allowed || waited + choice.first_event > deadline_ - request_.began;
}

void proxied_call::attempt() {
    if (time_left() < least_time_for_attempt) {
        follow(retry_policy::without_resend(progress_, last_outcome_), last_outcome_);
        return;
    }
    const std::optional<placement_choice> choice = place();
    if (!choice) {
        last_cause_ = last_cause_.empty() ? "no_server" : last_cause_;
        follow(retry_policy::without_resend(progress_, last_outcome_), last_outcome_);
        return;
    }
    if (is_hopeless(*choice) && !progress_.may_have_run) {
        choice_ = *choice; // For the log line.
        refuse("too_late", choice->first_event - route_.target);
        return;
    }
    send(*choice);
}

void proxied_call::send(const placement_choice& choice) {
    server_ = *choice.server;
    choice_ = choice;
    choice_.server = &server_;
    has_head_ = false;
    attempt_has_events_ = false;
    answer_body_.clear();
    events_.drop_rest();
    tried_.push_back(server_.id);
    sent_ = state_.time.now();
    last_event_at_ = sent_;

    attempt_fields fields;
    fields.server = server_.id;
    fields.timeout = std::max(millis{1}, to_millis(time_left()));
    if (customer_ != nullptr) {
        fields.customer = customer_->id;
    }
    if (service_->engine) {
        const int priority =
            customer_ != nullptr ? customer_->priority.value_or(route_.priority) : route_.priority;
        fields.priority = std::min(first_engine_priority + priority, last_engine_priority);
    }
    if (progress_.has_begun) {
        fields.last_event_id = events_.last_id();
    }
    call_options options;
    options.connect_timeout = std::min<micros>(connect_timeout, time_left());
    options.max_idle = retry_policy::may_rerun(route_) ? max_idle : max_idle_once;
    for (const prompt_prefix& prefix : shared_prefixes(request_.fields.prompt_parts)) {
        state_.prompts.on_own_read(prefix.key, server_.id, sent_);
    }
    state_.loads.on_sent(server_.id, choice_.unread_tokens, choice_.held_tokens);
    if (progress_.servers_tried == 0 && progress_.void_sends == 0) {
        state_.demand.add(
            service_->id,
            state_.engines.reading_seconds(service_->id, choice_.unread_tokens) +
                static_cast<double>(choice_.held_tokens -
                                    std::min(choice_.held_tokens, request_.fields.prompt_tokens)) *
                    seconds_per_output_token,
            sent_);
    }
    call_ = state_.client.call(server_.address,
                               serialize_request(request_.head.method, request_.head.target,
                                                 state_.codec.server_headers(request_.head, fields),
                                                 request_.body),
                               options, *this);
    watch_silence();
}

void proxied_call::watch_silence() {
    if (!is_stream() || !retry_policy::may_rerun(route_) || silence_timer_) {
        return;
    }
    const std::weak_ptr<proxied_call> weak = weak_from_this();
    silence_timer_ = state_.timers.every(silence_check_period, silence_check_period, [weak] {
        if (const auto call = weak.lock()) {
            call->on_silence();
        }
    });
}

void proxied_call::on_silence() {
    if (!call_) {
        return;
    }
    const micros expected = attempt_has_events_ ? micros{0} : choice_.first_event * 2;
    if (state_.time.now() - last_event_at_ < longest_silence + expected) {
        return;
    }
    state_.health.on_unreachable(server_.id, state_.time.now());
    answer_failed(progress_.has_begun ? attempt_outcome::broken_midway : attempt_outcome::broken);
}

bool proxied_call::do_head(const response_head& head) {
    answer_ = state_.codec.read_response(head);
    const bool success = is_success(head.status);
    const bool is_own = answer_.attempt_id == request_.fields.attempt_id;
    if (!is_own && !answer_.attempt_id.empty()) {
        return false; // A late answer to another call.
    }
    head_ = head;
    has_head_ = true;
    if (success && (!is_own || !answer_.is_signed || answer_.is_encoded)) {
        answer_failed(attempt_outcome::broken);
    }
    return true;
}

void proxied_call::do_body(std::string_view bytes) {
    if (!has_head_) {
        return;
    }
    if (is_stream() && is_success(head_.status)) {
        take_events(bytes);
        return;
    }
    if (answer_body_.size() + bytes.size() > max_answer_bytes) {
        answer_failed(attempt_outcome::broken);
        return;
    }
    answer_body_ += bytes;
}

void proxied_call::take_events(std::string_view bytes) {
    const std::string whole = events_.feed(bytes);
    if (events_.rest().size() > event_splitter::max_event_bytes) {
        answer_failed(progress_.has_begun ? attempt_outcome::broken_midway
                                          : attempt_outcome::broken);
        return;
    }
    if (whole.empty()) {
        return;
    }
    last_event_at_ = state_.time.now();
    if (!attempt_has_events_) {
        attempt_has_events_ = true;
        first_event_after_ = last_event_at_ - sent_;
        state_.metrics.on_first_event(service_->id, first_event_after_);
        state_.loads.on_begun(server_.id, choice_.unread_tokens);
        state_.engines.on_first_event(choice_, last_event_at_ - sent_);
        on_first_answer();
    }
    if (!progress_.has_begun) {
        begin_stream();
    }
    request_.exchange->write(whole);
    if (request_.exchange->waiting_bytes() > tcp_connection::high_water && call_) {
        call_->pause();
    }
}

void proxied_call::begin_stream() {
    progress_.has_begun = true;
    request_.exchange->begin(head_.status, state_.codec.caller_headers(head_),
                             body_framing::chunked, 0);
}

void proxied_call::on_first_answer() {
    if (!is_counted_ && customer_ != nullptr) {
        is_counted_ = true;
        const millis since_sent = is_stream() ? millis{0} : to_millis(state_.time.now() - sent_);
        state_.usage.count(customer_->id, state_.time.wall_now() - since_sent);
    }
}

void proxied_call::do_whole() {
    const auto alive = shared_from_this();
    if (!has_head_) {
        answer_failed(attempt_outcome::broken);
        return;
    }
    if (answer_.not_run) {
        answer_failed(answer_.wrong_server ? attempt_outcome::wrong_server
                                           : attempt_outcome::not_run);
        return;
    }
    on_first_answer();
    if (is_success(head_.status)) {
        state_.health.on_success(server_.id, state_.time.now());
        if (is_stream()) {
            if (!progress_.has_begun) {
                begin_stream();
            }
            request_.exchange->write(events_.rest());
            request_.exchange->finish();
            finish(call_ended, head_.status, "whole");
            return;
        }
        pass_whole_answer();
        return;
    }
    if (head_.status >= server_errors && !promises_not_run(head_.status)) {
        answer_failed(attempt_outcome::error_answer);
        return;
    }
    if (promises_not_run(head_.status)) {
        // The server's word alone is no promise that the call did not run.
        answer_failed(attempt_outcome::broken);
        return;
    }
    pass_whole_answer();
}

void proxied_call::pass_whole_answer() {
    const body_framing framing =
        head_.framing == body_framing::none ? body_framing::none : body_framing::length;
    request_.exchange->begin(head_.status, state_.codec.caller_headers(head_), framing,
                             answer_body_.size());
    request_.exchange->write(answer_body_);
    request_.exchange->finish();
    finish(call_ended, head_.status, is_success(head_.status) ? "whole" : "server_error");
}

void proxied_call::do_failed(call_failure how) {
    const auto alive = shared_from_this();
    if (how == call_failure::not_connected) {
        state_.health.on_unreachable(server_.id, state_.time.now());
        answer_failed(attempt_outcome::not_sent);
        return;
    }
    answer_failed(progress_.has_begun ? attempt_outcome::broken_midway : attempt_outcome::broken);
}

void proxied_call::answer_failed(attempt_outcome outcome) {
    const auto alive = shared_from_this();
    const time_point now = state_.time.now();
    const micros lasted = now - sent_;
    end_attempt();
    events_.drop_rest();
    switch (outcome) {
    case attempt_outcome::not_sent:
    case attempt_outcome::wrong_server:
        ++progress_.void_sends;
        break;
    case attempt_outcome::not_run:
        ++progress_.servers_tried;
        state_.health.on_bad_answer(server_.id, now);
        break;
    case attempt_outcome::error_answer:
    case attempt_outcome::broken:
    case attempt_outcome::broken_midway:
        ++progress_.servers_tried;
        progress_.may_have_run = true;
        on_first_answer();
        state_.health.on_bad_answer(server_.id, now);
        break;
    }
    last_outcome_ = outcome;
    last_cause_ = name_of(outcome);
    state_.metrics.on_attempt(service_->id, last_cause_);
    state_.log.write(attempt_over, {{"id", request_.fields.attempt_id},
                                    {"server", server_.id.str()},
                                    {"outcome", last_cause_},
                                    {"status", has_head_ ? std::to_string(head_.status) : "-"},
                                    {"ms", ms_text(lasted)},
                                    {"servers_tried", std::to_string(progress_.servers_tried)}});
    next_step step = retry_policy::decide(route_, progress_, outcome);
    if (step == next_step::resend && !may_resend(outcome)) {
        step = retry_policy::without_resend(progress_, outcome);
    }
    follow(step, outcome);
}

bool proxied_call::may_resend(attempt_outcome outcome) {
    if (time_left() < least_time_for_attempt) {
        return false;
    }
    if (outcome == attempt_outcome::not_sent) {
        return true;
    }
    if (!state_.retries.try_spend(service_->id)) {
        return false;
    }
    state_.metrics.on_retry(service_->id);
    if (progress_.has_begun) {
        state_.metrics.on_resume(service_->id);
    }
    return true;
}

void proxied_call::follow(next_step step, attempt_outcome outcome) {
    switch (step) {
    case next_step::resend:
        attempt();
        return;
    case next_step::refuse:
        refuse(last_cause_, least_retry_after);
        return;
    case next_step::fail:
        fail(bad_gateway, last_cause_);
        return;
    case next_step::pass_error:
        if (outcome == attempt_outcome::error_answer && has_head_) {
            pass_whole_answer();
            return;
        }
        fail(bad_gateway, last_cause_);
        return;
    case next_step::break_off:
        break_off(last_cause_);
        return;
    }
}

void proxied_call::end_attempt() {
    if (sent_ == time_point{}) {
        return;
    }
    call_.reset();
    state_.loads.on_ended(server_.id, attempt_has_events_ ? 0 : choice_.unread_tokens,
                          choice_.held_tokens);
    sent_ = {};
}

void proxied_call::abandon() {
    const auto alive = shared_from_this();
    break_off("node_ends");
}

void proxied_call::do_caller_gone() {
    const auto alive = shared_from_this();
    finish(call_left, 0, progress_.has_begun ? "mid_answer" : "before_answer");
}

void proxied_call::do_drained() {
    if (call_) {
        call_->resume();
    }
}

void proxied_call::on_deadline() {
    const auto alive = shared_from_this();
    if (progress_.has_begun) {
        break_off("timeout");
    } else if (call_ || progress_.may_have_run) {
        fail(gateway_timeout, "timeout");
    } else {
        refuse("timeout", least_retry_after);
    }
}

void proxied_call::refuse(std::string_view cause, micros retry_after) {
    if (customer_ != nullptr && request_.charged > 0.0) {
        state_.caps.refund(*customer_, request_.charged, state_.time.now());
    }
    request_.exchange->respond(
        service_unavailable,
        state_.codec.local_response_headers(request_.fields.attempt_id,
                                            std::max(retry_after, least_retry_after)),
        R"({"error":"not run, try again later"})");
    finish(call_refused, service_unavailable, cause);
}

void proxied_call::fail(int status, std::string_view cause) {
    request_.exchange->respond(status,
                               state_.codec.local_response_headers(request_.fields.attempt_id, {}),
                               R"({"error":"the backend server gave no whole answer"})");
    finish(call_failed, status, cause);
}

void proxied_call::break_off(std::string_view cause) {
    request_.exchange->abort();
    finish(call_failed, head_.status, cause);
}

void proxied_call::finish(const log_event& event, int status, std::string_view cause) {
    const auto alive = shared_from_this();
    state_.metrics.on_call(service_ != nullptr ? service_->id : service_id(), event.name, cause,
                           state_.time.now() - request_.began);
    state_.log.write(event, {{"id", request_.fields.attempt_id},
                             {"route", route_.id.str()},
                             {"service", service_ != nullptr ? service_->id.str() : "-"},
                             {"customer", customer_ != nullptr ? customer_->id.str() : "-"},
                             {"server", server_.id.str()},
                             {"status", std::to_string(status)},
                             {"cause", std::string(cause)},
                             {"ms", ms_text(state_.time.now() - request_.began)},
                             {"estimate_ms", ms_text(choice_.first_event)},
                             {"first_event_ms", ms_text(first_event_after_)},
                             {"target_ms", std::to_string(route_.target.count())},
                             {"charged", std::to_string(std::llround(request_.charged))},
                             {"candidates", std::to_string(candidates_)},
                             {"unread_tokens", std::to_string(choice_.unread_tokens)},
                             {"events", std::to_string(events_.events())},
                             {"framing", std::string(name_of(head_.framing))},
                             {"servers_tried", std::to_string(progress_.servers_tried)},
                             {"config", std::to_string(config_->version())}});
    end_attempt();
    deadline_timer_.reset();
    silence_timer_.reset();
    state_.calls.erase(alive);
}

} // namespace jujubetide
