#include "entry/plain_handler.h"

#include "entry/avoidance.h"
#include "entry/entry_events.h"
#include "entry/refusals.h"

#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/http/http_server.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace jujubetide {
namespace {

/// Part of a caller's time in which a claimed call must have been sent.
constexpr int claim_time_divisor = 2;

class service_retries final : public retry_allowance {
public:
    service_retries(retry_budget& budget, const service_id& service)
        : budget_(budget), service_(service) {}

protected:
    bool do_try_spend() override { return budget_.try_spend(service_); }

private:
    retry_budget& budget_;
    const service_id& service_;
};

bool fits(const route_settings& route, const std::string& method, const std::string& target) {
    return (route.method.empty() || route.method == method) &&
           absl::StartsWith(target, route.path_prefix);
}

bool is_better(const route_settings& a, const route_settings& b) {
    if (a.path_prefix.size() != b.path_prefix.size()) {
        return a.path_prefix.size() > b.path_prefix.size();
    }
    return !a.method.empty() && b.method.empty();
}

std::uint64_t fingerprint(const plain_request& request) {
    const std::string head = absl::StrCat(request.method, " ", request.target, "\n");
    return stable_hash(request.body, stable_hash(head));
}

problem unknown_problem(std::string code, std::string detail) {
    problem error = make_problem(502, std::move(code), std::move(detail));
    error.outcome = run_outcome::unknown;
    return error;
}

problem claim_problem(claim_outcome outcome) {
    switch (outcome) {
    case claim_outcome::running: {
        problem error = make_problem(409, "call_running", "a call with this key runs");
        error.outcome = run_outcome::unknown;
        error.retry_after = default_retry_after;
        return error;
    }
    case claim_outcome::unknown:
        return unknown_problem("claimant_gone",
                               "a call with this key began and its outcome is not known");
    case claim_outcome::other_call:
        return make_problem(422, "key_reused", "the key was used for another call");
    default:
        break;
    }
    problem error = make_problem(503, "table_unavailable", "the key could not be claimed");
    error.retry_after = default_retry_after;
    return error;
}

route_query make_query(const caller_context& caller, const service_settings& service,
                       const version_id& version, const attempt_ledger& attempts, time_point now,
                       time_point deadline) {
    route_query query;
    query.request = caller.request;
    query.service = service.id;
    query.version = version;
    query.customer = caller.customer->id;
    query.now = now;
    query.deadline = deadline;
    query.avoid_domain = attempts.failed_domain();
    query.tried = attempts.tried();
    return query;
}

} // namespace

const route_settings* find_plain_route(const service_settings& service, const std::string& method,
                                       const std::string& target) {
    const route_settings* best = nullptr;
    for (const route_settings& route : service.routes) {
        if (fits(route, method, target) && (best == nullptr || is_better(route, *best))) {
            best = &route;
        }
    }
    return best;
}

void plain_handler::call(const caller_context& caller, const service_id& id,
                         const std::string& target, const httplib::Request& request,
                         httplib::Response& response) {
    set_request_id(response, caller.caller_request_id);
    const service_settings* service = caller.settings->find_service(id);
    if (service == nullptr || service->kind != service_kind::plain) {
        set_problem(response, make_problem(404, "unknown_service", "no such plain service"));
        return;
    }
    if (const auto error = check_permission(caller, *service)) {
        set_problem(response, *error);
        return;
    }
    if (request.body.size() > service->max_body_bytes) {
        set_problem(response, make_problem(413, "body_too_large",
                                           "the body is larger than the service takes"));
        return;
    }
    const route_settings* route = find_plain_route(*service, request.method, target);
    if (route == nullptr) {
        set_problem(response, make_problem(404, "unknown_route", "the service has no such route"));
        return;
    }
    parts_.retries.on_request(service->id, service->retry_percent);
    plain_request forwarded{{},
                            caller.request,
                            request.method,
                            target,
                            request.get_header_value("Content-Type"),
                            request.body,
                            millis{0}};
    const plain_call one{caller, *service, route, std::move(forwarded),
                         caller.deadline_for(*service)};
    const bool claimed = !route->idempotent && !caller.key.empty();
    const plain_answer answer = claimed ? run_claimed(one) : send(one);
    if (const auto* error = std::get_if<problem>(&answer)) {
        metrics_.count_request(service->id, std::string(to_string(error->outcome)));
        parts_.log.write(request_refused, {{"request", caller.caller_request_id},
                                           {"code", error->code},
                                           {"outcome", std::string(to_string(error->outcome))}});
        set_problem(response, *error);
        return;
    }
    metrics_.count_request(service->id, "whole");
    metrics_.observe_total(service->id, parts_.time.now() - caller.arrived);
    const auto& stored = std::get<stored_answer>(answer);
    response.status = stored.status;
    response.set_content(stored.body, stored.content_type);
}

plain_handler::plain_answer plain_handler::run_claimed(const plain_call& call) {
    const claim_query query{
        claim_row_key(call.caller.customer->id, call.service.id, call.caller.key),
        call.caller.request, fingerprint(call.request),
        to_millis(call.deadline - parts_.time.now())};
    const claim_answer claim = claims_.claim(query);
    if (claim.outcome == claim_outcome::done) {
        return claim.answer;
    }
    if (claim.outcome != claim_outcome::won) {
        return claim_problem(claim.outcome);
    }
    return finish_claimed(call, query, claim.version);
}

plain_handler::plain_answer plain_handler::finish_claimed(const plain_call& call,
                                                          const claim_query& query,
                                                          row_version claimed) {
    plain_answer answer = send(call);
    if (const auto* stored = std::get_if<stored_answer>(&answer)) {
        keeper_.keep(query, claimed, *stored);
    } else if (std::get<problem>(answer).outcome == run_outcome::not_run) {
        (void)claims_.release(query, claimed);
    }
    return answer;
}

plain_handler::plain_answer plain_handler::send(const plain_call& call) {
    service_retries retries(parts_.retries, call.service.id);
    const time_point send_by =
        call.route->idempotent
            ? call.deadline
            : call.caller.arrived + (call.deadline - call.caller.arrived) / claim_time_divisor;
    plain_call_machine machine(call.caller.request, call.route->idempotent, send_by, retries);
    plain_step step = machine.on_begin(parts_.time.now());
    while (step.kind == plain_step_kind::choose) {
        const version_id version =
            parts_.versions.select(call.service, call.route->id, call.caller.request);
        const route_query query = make_query(call.caller, call.service, version, machine.attempts(),
                                             parts_.time.now(), call.deadline);
        const auto choice =
            parts_.routes.choose(query, call.caller.settings->servers_of(call.service.id));
        if (!choice.ok()) {
            step = machine.on_no_server(default_retry_after);
            break;
        }
        const auto* server = call.caller.settings->find_backend_server(choice->server);
        step = machine.on_server_chosen(server->id, server->failure_domain, parts_.time.now());
        if (step.kind != plain_step_kind::send) {
            break;
        }
        plain_result result = send_attempt(call, query, *choice, step.attempt);
        if (result.answer_too_large) {
            // Another server's answer would be no shorter.
            return unknown_problem("answer_too_large",
                                   "the service's answer is larger than the entry passes on");
        }
        step = machine.on_result(result.outcome, parts_.time.now());
        if (step.kind == plain_step_kind::answer) {
            keep_until_answered(result.memory);
            return stored_answer{result.status, result.content_type, std::move(result.body)};
        }
    }
    return refusal_of(refuse_request{step.cause, step.may_have_run, step.retry_after});
}

plain_result plain_handler::send_attempt(const plain_call& call, const route_query& query,
                                         const route_choice& choice, const attempt_id& attempt) {
    const auto* server = call.caller.settings->find_backend_server(choice.server);
    plain_request request = call.request;
    request.attempt = attempt;
    const time_point sent_at = parts_.time.now();
    request.time_left = std::min(to_millis(call.deadline - sent_at), call.service.answer_timeout);
    request.max_answer_bytes = call.service.max_answer_bytes;
    parts_.routes.on_sent(query, choice);
    metrics_.count_attempt(call.service.id, query.version, !query.tried.empty());
    plain_result result = parts_.plain.call(server->address, request);

    const bool answered = result.outcome == plain_outcome::answered || result.answer_too_large;
    const time_point now = parts_.time.now();
    parts_.routes.on_finished(query, choice, token_count(), answered);
    if (answered) {
        parts_.boards.backends.on_success(server->id);
    } else {
        record_failure(parts_.boards.backends, server->id, now);
    }
    if (!answered || result.answer_too_large) {
        parts_.log.write(attempt_failed,
                         {{"attempt", attempt.str()},
                          {"server", server->id.str()},
                          {"end", result.answer_too_large ? "answer_too_large" : "no_answer"},
                          {"error", result.error}});
    }
    constexpr int first_server_error = 500;
    const bool failed = result.outcome == plain_outcome::unknown ||
                        (answered && result.status >= first_server_error);
    parts_.versions.record(
        {call.service.id, call.route->id, query.version, server->id, failed, now - sent_at, now});
    return result;
}

} // namespace jujubetide
