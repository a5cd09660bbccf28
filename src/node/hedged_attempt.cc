#include "node/hedged_attempt.h"

#include "node/call_log_fields.h"
#include "node/node_events.h"
#include "node/skipped_answers.h"

#include <utility>

namespace jujubetide {
namespace {

constexpr std::size_t max_held_bytes = 16U << 20U;

} // namespace

hedge_servers describe_hedge(serving_state& state, const backend_server& first,
                             const backend_server& second) {
    hedge_servers servers;
    servers.in_same_failure_domain = first.failure_domain == second.failure_domain;
    servers.first_running = state.loads.total(first.id).running;
    servers.second_running = state.loads.total(second.id).running;
    servers.second_slots = second.slots;
    servers.is_second_restricted =
        second.version != first.version || state.health.is_paused(second.id, state.time.now()) ||
        state.limits.limit_of(second.id).has_value() || state.brittle.is_brittle(second.id);
    for (const backend_server* server : state.backends.usable(second.service)) {
        servers.running += state.loads.total(server->id).running;
        servers.slots += server->slots;
    }
    return servers;
}

hedged_attempt::hedged_attempt(serving_state& state, order of, hedge_events& events)
    : state_(state), order_(std::move(of)), events_(events) {}

hedged_attempt::~hedged_attempt() {
    if (is_adopted() || sent_at_ == time_point{}) {
        return;
    }
    call_.reset();
    state_.links.on_attempt_ended();
    state_.loads.on_ended(order_.server.id, order_.choice.prefill_tokens, order_.choice.held_tokens,
                          order_.choice.urgency);
}

void hedged_attempt::send(std::string request, const call_options& options) {
    sent_at_ = state_.time.now();
    state_.log.write(call_hedged, {{"id", order_.attempt_id},
                                   {"service", order_.server.service.str()},
                                   {"server", order_.first.str()},
                                   {"second", order_.server.id.str()},
                                   {"after_ms", ms_text(sent_at_ - order_.first_sent_at)}});
    state_.loads.on_sent(order_.server.id, order_.choice.prefill_tokens, order_.choice.held_tokens,
                         order_.choice.urgency);
    state_.limits.on_sent(order_.server.id, state_.time.wall_now());
    state_.trials.on_sent(order_.server);
    state_.links.on_attempt_begun();
    call_ = state_.client.call(order_.server.address, std::move(request), options, *this);
    connection_ = call_->connection();
}

hedged_attempt::adopted hedged_attempt::adopt(call_events& target) {
    target_ = &target;
    return {std::move(call_), connection_, sent_at_};
}

void hedged_attempt::replay() {
    const auto self = shared_from_this();
    if (!has_head_) {
        return;
    }
    // A response that is not for the call was sorted out on arrival.
    static_cast<void>(target_->on_head(head_));
    memory_.force(0);
    if (!is_stopped_ && !body_.empty()) {
        target_->on_body(std::exchange(body_, {}));
    }
    if (!is_stopped_ && is_complete_) {
        target_->on_complete();
    }
}

bool hedged_attempt::is_acceptable() const {
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return head_.status >= first_success && head_.status < first_redirect && !fields_.not_run &&
           fields_.is_signed && !fields_.is_encoded;
}

bool hedged_attempt::do_head(const response_head& head) {
    const auto self = shared_from_this();
    if (is_adopted()) {
        return target_->on_head(head);
    }
    state_.links.on_bytes();
    fields_ = state_.codec.read_response(head);
    if (!fields_.attempt_id.empty() && fields_.attempt_id != order_.attempt_id) {
        log_skipped_answer(state_, order_.attempt_id, order_.server.id, fields_, head);
        return false;
    }
    head_ = head;
    has_head_ = true;
    const bool is_too_large = !order_.is_stream && head.framing == body_framing::length &&
                              head.content_length > max_held_bytes;
    if (fields_.not_run) {
        fail(fields_.wrong_server ? attempt_outcome::wrong_server : attempt_outcome::not_run);
    } else if (fields_.attempt_id.empty() || !is_acceptable() || is_too_large) {
        fail(attempt_outcome::broken);
    }
    return true;
}

void hedged_attempt::do_body(std::string_view bytes) {
    const auto self = shared_from_this();
    if (is_adopted()) {
        target_->on_body(bytes);
        return;
    }
    if (!call_) {
        return;
    }
    state_.links.on_bytes();
    const std::size_t size = body_.size() + bytes.size();
    if (size > max_held_bytes || !memory_.resize(size)) {
        fail(attempt_outcome::broken);
        return;
    }
    body_ += bytes;
    if (order_.is_stream && !splitter_.feed(bytes).empty()) {
        win();
    }
}

void hedged_attempt::do_complete() {
    const auto self = shared_from_this();
    if (is_adopted()) {
        target_->on_complete();
        return;
    }
    // A stream would have won with its first event.
    if (!has_head_ || order_.is_stream ||
        (body_.empty() && head_.framing == body_framing::until_close)) {
        fail(attempt_outcome::broken);
        return;
    }
    is_complete_ = true;
    win();
}

void hedged_attempt::do_failed(call_failure failure) {
    const auto self = shared_from_this();
    if (is_adopted()) {
        target_->on_failed(failure);
        return;
    }
    fail(failure == call_failure::not_connected ? attempt_outcome::not_sent
                                                : attempt_outcome::broken);
}

void hedged_attempt::win() {
    state_.metrics.on_hedge(order_.server.service, "won");
    state_.log.write(hedge_won, {{"id", order_.attempt_id},
                                 {"service", order_.server.service.str()},
                                 {"server", order_.first.str()},
                                 {"second", order_.server.id.str()},
                                 {"ms", ms_text(state_.time.now() - sent_at_)}});
    events_.on_hedge_won();
}

void hedged_attempt::fail(attempt_outcome outcome) {
    call_.reset();
    record_failure(outcome);
    events_.on_hedge_failed(outcome);
}

void hedged_attempt::record_failure(attempt_outcome outcome) {
    const backend_server_id& server = order_.server.id;
    const time_point now = state_.time.now();
    state_.metrics.on_hedge(order_.server.service, name_of(outcome));
    switch (outcome) {
    case attempt_outcome::not_sent:
        state_.links.on_connect_failed();
        state_.health.on_unreachable(server, now);
        break;
    case attempt_outcome::wrong_server:
        state_.health.on_unreachable(server, now);
        break;
    case attempt_outcome::not_run:
        state_.brittle.on_rejected(server, now);
        state_.health.on_bad_answer(server, now);
        state_.hedges.on_refused(order_.server.service, now);
        break;
    case attempt_outcome::error_answer:
    case attempt_outcome::broken:
    case attempt_outcome::broken_midway:
        state_.health.on_bad_answer(server, now);
        break;
    }
}

} // namespace jujubetide
