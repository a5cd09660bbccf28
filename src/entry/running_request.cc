#include "entry/running_request.h"

#include "entry/avoidance.h"
#include "entry/entry_events.h"
#include "entry/entry_list.h"
#include "entry/refusals.h"

#include "jujubetide/routing/prompt_blocks.h"

#include <algorithm>
#include <utility>

// The machine is driven by one thread at a time: this request's own, and, while an attempt runs and
// the own thread is inside the engine client, the client's calls of the receiver, which come one at
// a time, for each piece and at least each 100 ms. What other threads want is kept in flags and
// read there. Answers and refusals go to the log at once; what needs the own thread (the next
// attempt, a hand-over) is queued until the client returns.

namespace jujubetide {
namespace {

request_start make_start(const running_request::options& given) {
    return {given.record.request, given.deadline, given.record.pieces, given.record.next_attempt,
            given.record.may_have_run};
}

std::string_view name_of(attempt_end end) {
    switch (end) {
    case attempt_end::not_run:
        return "not_run";
    case attempt_end::interrupted:
        return "interrupted";
    case attempt_end::stalled:
        return "stalled";
    case attempt_end::conflicting:
        return "conflicting";
    case attempt_end::not_whole:
        return "not_whole";
    default:
        return "other";
    }
}

} // namespace

/// Feeds the machine while an attempt runs.
class running_request::receiver final : public engine_receiver {
public:
    explicit receiver(running_request& owner) : owner_(owner) {}

protected:
    bool do_on_piece(const engine_piece& piece) override {
        return owner_.take(owner_.machine_.on_piece(piece, owner_.now())) && do_on_idle();
    }
    bool do_on_idle() override { return owner_.take(owner_.outside_events()); }

private:
    running_request& owner_;
};

running_request::running_request(entry_parts& parts, const entry_identity& self,
                                 entry_metrics& metrics, answer_time& answer_times, options given)
    : parts_(parts), self_(self), metrics_(metrics), answer_times_(answer_times),
      given_(std::move(given)), budget_(parts.retries, given_.record.service),
      machine_(make_start(given_), request_timeouts{}, budget_), log_(given_.record.pieces),
      last_read_(given_.arrived) {}

running_request::~running_request() {
    caller_gone();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void running_request::start() {
    thread_ = std::thread([this] { run(); });
}

void running_request::run() {
    take(machine_.on_begin(now()));
    while (!queue_.empty()) {
        const request_action action = std::move(queue_.front());
        queue_.pop_front();
        carry_out(action);
        if (queue_.empty() && !machine_.is_over()) {
            take(outside_events());
        }
    }
    // A machine that is over without an outcome has lost its caller.
    finish(answer_dropped{}, "caller_gone");
    if (given_.admitted) {
        parts_.limits.on_finished(*given_.admitted, now());
    }
}

bool running_request::take(request_actions actions) {
    bool goes_on = true;
    for (request_action& action : actions) {
        const bool now_possible = std::holds_alternative<deliver_piece>(action) ||
                                  std::holds_alternative<refuse_request>(action) ||
                                  std::holds_alternative<end_attempt>(action);
        goes_on = goes_on && !std::holds_alternative<end_attempt>(action);
        if (now_possible) {
            carry_out(action);
        } else {
            queue_.push_back(std::move(action));
        }
    }
    return goes_on && !machine_.is_over();
}

request_actions running_request::outside_events() {
    if (caller_gone_) {
        return machine_.on_caller_gone();
    }
    request_actions actions = machine_.on_tick(now());
    if (!actions.empty()) {
        return actions;
    }
    if (hand_over_wanted_.exchange(false) && can_hand_over()) {
        // What was queued for this node is the peer's to decide.
        queue_.clear();
        return machine_.on_hand_over();
    }
    if (machine_.is_running() && server_is_leaving()) {
        return machine_.on_server_leaving(other_server_available(), now());
    }
    return {};
}

bool running_request::can_hand_over() const {
    return now() >= next_hand_over_ &&
           !hand_over_targets(parts_.boards.members, self_, given_.record.request).empty();
}

bool running_request::server_is_leaving() {
    const backend_server_settings* server = server_of(choice_);
    return server != nullptr && parts_.boards.backends.is_leaving(server->host);
}

bool running_request::other_server_available() {
    const auto choice = choose({machine_.attempts().failed_domain(), machine_.attempts().tried()});
    return choice.ok() && choice->server != choice_.server;
}

void running_request::update_version() {
    if (machine_.answer().next() > piece_offset(0)) {
        // The rest of an answer comes from the version that began it.
        return;
    }
    const service_settings* service = given_.settings->find_service(given_.record.service);
    given_.record.version =
        parts_.versions.select(*service, given_.record.route, given_.record.request);
}

void running_request::carry_out(const request_action& action) {
    std::visit([this](const auto& one) { apply(one); }, action);
}

void running_request::apply(const choose_server& action) {
    std::optional<route_choice> first = std::exchange(given_.first_choice, std::nullopt);
    if (!first) {
        update_version();
    }
    absl::StatusOr<route_choice> choice = first ? *std::move(first) : choose(action);
    if (!choice.ok()) {
        take(machine_.on_no_server(default_retry_after, now()));
        return;
    }
    choice_ = *std::move(choice);
    query_ = make_query(action);
    const backend_server_settings* server = server_of(choice_);
    take(machine_.on_server_chosen(choice_.server, server->failure_domain, now()));
}

void running_request::apply(const wait_for_server& action) {
    std::this_thread::sleep_for(action.delay);
    request_actions events = outside_events();
    take(events.empty() ? machine_.on_waited(now()) : std::move(events));
}

void running_request::apply(const start_attempt& action) {
    const backend_server_settings* server = server_of(choice_);
    engine_request request;
    request.attempt = action.attempt;
    request.request = given_.record.request;
    request.version = given_.record.version;
    request.prompt = given_.record.prompt;
    request.max_pieces = given_.record.max_pieces;
    request.start = action.start;
    request.generated = machine_.answer().text();
    request.priority = given_.record.priority;
    request.time_left = to_millis(given_.deadline - now());

    parts_.routes.on_sent(query_, choice_);
    metrics_.count_attempt(given_.record.service, given_.record.version,
                           machine_.attempts().tried().size() > 1);
    attempt_started_ = now();
    attempt_pieces_ = 0;
    last_result_ = {};
    receiver pieces(*this);
    last_result_ = parts_.engines.run(server->address, request, pieces);
    take(machine_.on_attempt_ended(action.attempt, last_result_, now()));
}

void running_request::apply(const end_attempt& action) {
    const bool completed = action.end == attempt_end::completed;
    const backend_server_settings* server = server_of(choice_);
    parts_.routes.on_finished(query_, choice_, last_result_.cached_tokens, completed);
    answer_times_.on_attempt(given_.record.service, attempt_pieces_,
                             last_piece_at_ - first_piece_at_, now());
    if (completed) {
        parts_.boards.backends.on_success(choice_.server);
    } else if (is_server_fault(action.end) || action.end == attempt_end::not_run) {
        if (attempt_pieces_ == 0) {
            // A server that gave a part of the answer still works; its version's evidence counts.
            record_failure(parts_.boards.backends, choice_.server, now());
        }
        parts_.log.write(attempt_failed, {{"attempt", action.attempt.str()},
                                          {"server", server->id.str()},
                                          {"end", std::string(name_of(action.end))},
                                          {"error", last_result_.error}});
    }
    if (completed || is_server_fault(action.end)) {
        const time_point first = attempt_pieces_ > 0 ? first_piece_at_ : now();
        parts_.versions.record({given_.record.service, given_.record.route, given_.record.version,
                                choice_.server, !completed, first - attempt_started_, now()});
    }
}

void running_request::apply(const deliver_piece& action) {
    last_piece_at_ = now();
    if (attempt_pieces_++ == 0) {
        first_piece_at_ = last_piece_at_;
        parts_.routes.on_first_piece(query_, choice_);
    }
    if (action.offset == piece_offset(0)) {
        metrics_.observe_first_piece(given_.record.service, now() - given_.arrived);
    }
    log_.append(action.text);
}

void running_request::apply(const finish_answer& action) {
    metrics_.observe_total(given_.record.service, now() - given_.arrived);
    answer_times_.on_whole(given_.record.service, action.total.value());
    finish(
        answer_whole{action.finish_reason, last_result_.prompt_tokens, last_result_.cached_tokens},
        "whole");
}

void running_request::apply(const refuse_request& action) {
    problem error = refusal_of(action);
    const std::string outcome(to_string(error.outcome));
    parts_.log.write(
        request_refused,
        {{"request", given_.record.caller_request_id}, {"code", error.code}, {"outcome", outcome}});
    finish(answer_refused{std::move(error)}, outcome);
}

void running_request::apply(const hand_over_request& /*action*/) {
    const absl::StatusOr<endpoint> taken = hand_over(parts_, self_, current_record());
    if (!taken.ok()) {
        parts_.log.write(hand_over_failed, {{"request", given_.record.request.str()}});
        next_hand_over_ = now() + hand_over_pause_;
        hand_over_pause_ *= 2;
        take(machine_.on_hand_over_failed(now()));
        return;
    }
    moved_to_ = *taken;
    parts_.log.write(request_handed_over,
                     {{"request", given_.record.request.str()}, {"to", taken->str()}});
    take(machine_.on_hand_over_acked());
}

void running_request::apply(const tell_moved& /*action*/) {
    finish(answer_moved{moved_to_}, "moved");
}

absl::StatusOr<route_choice> running_request::choose(const choose_server& wish) {
    const service_id& service = given_.record.service;
    return parts_.routes.choose(
        make_query(wish), parts_.versions.servers(service, given_.settings->servers_of(service)));
}

route_query running_request::make_query(const choose_server& wish) const {
    route_query query;
    query.request = given_.record.request;
    query.service = given_.record.service;
    query.version = given_.record.version;
    query.customer = given_.record.customer;
    query.prefix_hashes = hash_prompt_blocks(given_.record.prompt);
    query.prompt_tokens = estimate_tokens(given_.record.prompt);
    query.now = now();
    query.deadline = given_.deadline;
    query.avoid_domain = wish.avoid_domain;
    query.tried = wish.tried;
    return query;
}

const backend_server_settings* running_request::server_of(const route_choice& choice) const {
    return given_.settings->find_backend_server(choice.server);
}

hand_over_record running_request::current_record() const {
    hand_over_record record = given_.record;
    record.time_left = to_millis(given_.deadline - now());
    record.pieces = machine_.answer().pieces();
    record.next_attempt = machine_.attempts().next_number();
    record.may_have_run = machine_.attempts().may_have_run();
    return record;
}

void running_request::finish(answer_end end, const std::string& outcome) {
    if (log_.close(std::move(end))) {
        metrics_.count_request(given_.record.service, outcome);
    }
}

} // namespace jujubetide
