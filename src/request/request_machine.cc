#include "jujubetide/request/request_machine.h"

#include <iterator>
#include <utility>

// An attempt is closed at the moment of the decision, not when the engine confirms: pieces and end
// marks that come after it belong to no current attempt and are dropped. So a refusal, a hand-over
// or the next attempt never waits for an engine that may have stopped answering.

namespace jujubetide {
namespace {

void append(request_actions& actions, request_actions more) {
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

} // namespace

request_machine::request_machine(request_start start, request_timeouts timeouts,
                                 retry_allowance& retries)
    : start_(std::move(start)), timeouts_(timeouts), retries_(retries),
      attempts_(start_.request, start_.next_attempt, start_.may_have_run),
      answer_(std::move(start_.pieces)) {}

request_actions request_machine::on_begin(time_point now) {
    return choose(now);
}

request_actions request_machine::choose(time_point now) {
    if (now >= start_.deadline) {
        return refuse(refusal_cause::deadline, millis{0});
    }
    state_ = state::choosing;
    return {choose_server{attempts_.failed_domain(), attempts_.tried()}};
}

request_actions request_machine::on_server_chosen(const backend_server_id& server,
                                                  const failure_domain_id& domain, time_point now) {
    if (state_ != state::choosing) {
        return {};
    }
    if (now >= start_.deadline) {
        return refuse(refusal_cause::deadline, millis{0});
    }
    state_ = state::running;
    ++attempts_here_;
    attempt_start_ = answer_.next();
    last_progress_ = now;
    return {start_attempt{attempts_.begin(server, domain), server, attempt_start_}};
}

request_actions request_machine::on_no_server(millis retry_after, time_point now) {
    if (state_ != state::choosing) {
        return {};
    }
    if (now >= start_.deadline) {
        return refuse(refusal_cause::deadline, retry_after);
    }
    if (!has_begun()) {
        return refuse(refusal_cause::no_server, retry_after);
    }
    state_ = state::waiting;
    return {wait_for_server{timeouts_.no_server_delay}};
}

request_actions request_machine::on_waited(time_point now) {
    return state_ == state::waiting ? choose(now) : request_actions{};
}

request_actions request_machine::on_piece(const engine_piece& piece, time_point now) {
    if (state_ != state::running) {
        return {};
    }
    const piece_offset first = answer_.next();
    const piece_verdict verdict = answer_.add(piece, attempts_.current());
    if (verdict == piece_verdict::conflicting) {
        return retry_after(attempt_end::conflicting, true, now);
    }
    request_actions actions;
    for (piece_offset at = first; at < answer_.next(); at = at.next()) {
        actions.emplace_back(deliver_piece{at, answer_.pieces()[at.value()]});
        last_progress_ = now;
    }
    return actions;
}

request_actions request_machine::on_attempt_ended(const attempt_id& attempt,
                                                  const engine_result& result, time_point now) {
    if (state_ != state::running || attempt != attempts_.current()) {
        return {};
    }
    switch (result.outcome) {
    case engine_outcome::not_run:
        suggested_retry_after_ = result.retry_after;
        // An engine that has sent pieces has run the request, whatever it says.
        return retry_after(answer_.next() == attempt_start_ ? attempt_end::not_run
                                                            : attempt_end::conflicting,
                           false, now);
    case engine_outcome::completed:
        break;
    default:
        return retry_after(attempt_end::interrupted, false, now);
    }
    if (!answer_.is_whole(result.total)) {
        return retry_after(attempt_end::not_whole, false, now);
    }
    request_actions actions{close_attempt(attempt_end::completed, false)};
    actions.emplace_back(finish_answer{result.total, result.finish_reason});
    state_ = state::over;
    return actions;
}

request_actions request_machine::on_tick(time_point now) {
    if (state_ == state::over || state_ == state::handing_over) {
        return {};
    }
    if (now >= start_.deadline) {
        return refuse(refusal_cause::deadline, millis{0});
    }
    if (state_ != state::running) {
        return {};
    }
    const bool begun = answer_.next() > attempt_start_;
    const micros limit = begun ? timeouts_.between_pieces : timeouts_.first_piece;
    return now - last_progress_ >= limit ? retry_after(attempt_end::stalled, true, now)
                                         : request_actions{};
}

request_actions request_machine::on_server_leaving(bool other_available, time_point now) {
    if (state_ != state::running || !other_available) {
        return {};
    }
    request_actions actions{close_attempt(attempt_end::server_leaving, true)};
    append(actions, choose(now));
    return actions;
}

request_actions request_machine::on_caller_gone() {
    if (state_ == state::over) {
        return {};
    }
    request_actions actions;
    if (state_ == state::running) {
        actions.emplace_back(close_attempt(attempt_end::caller_gone, true));
    }
    state_ = state::over;
    return actions;
}

request_actions request_machine::on_hand_over() {
    if (state_ == state::over || state_ == state::handing_over) {
        return {};
    }
    request_actions actions;
    if (state_ == state::running) {
        actions.emplace_back(close_attempt(attempt_end::handed_over, true));
    }
    state_ = state::handing_over;
    actions.emplace_back(hand_over_request{});
    return actions;
}

request_actions request_machine::on_hand_over_acked() {
    if (state_ != state::handing_over) {
        return {};
    }
    state_ = state::over;
    return {tell_moved{}};
}

request_actions request_machine::on_hand_over_failed(time_point now) {
    return state_ == state::handing_over ? choose(now) : request_actions{};
}

request_actions request_machine::retry_after(attempt_end end, bool cancel, time_point now) {
    const bool progressed = answer_.next() > attempt_start_;
    request_actions actions{close_attempt(end, cancel)};
    append(actions, retry_allowed(progressed)
                        ? choose(now)
                        : refuse(refusal_cause::failed, suggested_retry_after_));
    return actions;
}

// An attempt that brought the answer forward left less work than before, so going on costs no more
// than the caller's own request; only attempts without progress spend the budget.
bool request_machine::retry_allowed(bool progressed) {
    if (attempts_here_ >= max_attempts) {
        return false;
    }
    return progressed || retries_.try_spend();
}

request_actions request_machine::refuse(refusal_cause cause, millis retry_after) {
    request_actions actions;
    if (attempts_.is_running()) {
        actions.emplace_back(close_attempt(attempt_end::deadline, true));
    }
    state_ = state::over;
    actions.emplace_back(refuse_request{cause, attempts_.may_have_run(), retry_after});
    return actions;
}

end_attempt request_machine::close_attempt(attempt_end end, bool cancel) {
    const attempt_id attempt = attempts_.current();
    attempts_.end(end);
    answer_.drop_early();
    return {attempt, end, cancel};
}

bool request_machine::has_begun() const {
    return attempts_.may_have_run() || !answer_.pieces().empty();
}

} // namespace jujubetide
