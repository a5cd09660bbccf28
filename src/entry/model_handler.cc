#include "entry/model_handler.h"

#include "entry/answer_writer.h"
#include "entry/entry_events.h"
#include "entry/refusals.h"
#include "entry/scoped_count.h"

#include "jujubetide/routing/prompt_blocks.h"

#include <absl/strings/numbers.h>
#include <httplib.h>

#include <numeric>

namespace jujubetide {
namespace {

/// How often a reader that waits looks whether its caller is still there.
constexpr millis reader_poll{100};
/// How long a stream's status line waits for the first piece, so that an early refusal has its own
/// status. After it, a refusal is an event of the stream.
constexpr millis status_wait{2'000};

route_query first_query(const caller_context& caller, const model_call& call,
                        const service_settings& service, version_id version) {
    route_query query;
    query.request = caller.request;
    query.service = service.id;
    query.version = std::move(version);
    query.customer = caller.customer->id;
    query.prefix_hashes = hash_prompt_blocks(call.prompt);
    query.prompt_tokens = estimate_tokens(call.prompt);
    query.now = caller.arrived;
    query.deadline = caller.deadline_for(service);
    return query;
}

admission_query make_admission_query(const caller_context& caller, const service_settings& service,
                                     const route_query& query, const route_choice& choice,
                                     micros answer_time_left) {
    admission_query admission;
    admission.request = caller.request;
    admission.service = service.id;
    admission.customer = caller.customer->id;
    admission.share = caller.customer->share;
    admission.prompt_tokens = query.prompt_tokens;
    admission.estimated_first_piece = choice.estimated_first_piece;
    admission.first_piece_target = service.first_piece_target;
    admission.now = query.now;
    // An answer that begins too late to end in time is work for nothing.
    admission.deadline = query.deadline - answer_time_left;
    return admission;
}

hand_over_record make_record(const caller_context& caller, const model_call& call,
                             const route_query& query, const route_settings* route) {
    hand_over_record record;
    record.request = caller.request;
    record.caller_request_id = caller.caller_request_id;
    record.customer = query.customer;
    record.service = query.service;
    record.route = route == nullptr ? route_id() : route->id;
    record.version = query.version;
    record.settings = caller.settings->at();
    record.model = call.model;
    record.chat = call.kind == completion_kind::chat;
    record.prompt = call.prompt;
    record.max_pieces = call.max_pieces;
    record.priority = route == nullptr ? 0 : route->priority;
    return record;
}

/// The offset after the last event that the caller has.
piece_offset offset_after_last_event(const httplib::Request& request) {
    std::uint32_t last = 0;
    if (!absl::SimpleAtoi(request.get_header_value("Last-Event-ID"), &last)) {
        return {};
    }
    return piece_offset(last).next();
}

} // namespace

void model_handler::complete(const caller_context& caller, completion_kind kind,
                             const httplib::Request& request, httplib::Response& response) {
    auto admitted = admit(caller, kind, request.body);
    if (const auto* error = std::get_if<problem>(&admitted)) {
        set_problem(response, *error);
        return;
    }
    answer(std::get<admitted_request>(admitted), piece_offset(), response);
}

std::variant<model_handler::admitted_request, problem>
model_handler::admit(const caller_context& caller, completion_kind kind, const std::string& body) {
    const absl::StatusOr<model_call> call = parse_model_call(kind, body);
    if (!call.ok()) {
        return make_problem(400, "bad_request", std::string(call.status().message()));
    }
    const std::optional<model_target> target = find_model_target(*caller.settings, call->model);
    if (!target) {
        return make_problem(404, "unknown_service", "model names no route of a model service");
    }
    const service_settings& service = *target->service;
    if (auto error = check_permission(caller, service)) {
        return *std::move(error);
    }
    if (body.size() > service.max_body_bytes) {
        return make_problem(413, "body_too_large", "the body is larger than the service takes");
    }
    auto result = admit_call(caller, *call, *target);
    if (std::holds_alternative<problem>(result)) {
        metrics_.count_request(service.id, "not_run");
    }
    return result;
}

std::variant<model_handler::admitted_request, problem>
model_handler::admit_call(const caller_context& caller, const model_call& call,
                          const model_target& target) {
    const service_settings& service = *target.service;
    const route_settings* route = target.route;
    const route_id route_name = route == nullptr ? route_id() : route->id;
    parts_.retries.on_request(service.id, service.retry_percent);
    const route_query query = first_query(
        caller, call, service, parts_.versions.select(service, route_name, caller.request));
    const absl::StatusOr<route_choice> choice = parts_.routes.choose(
        query, parts_.versions.servers(service.id, caller.settings->servers_of(service.id)));
    if (!choice.ok()) {
        return no_server_refusal();
    }
    const admission_query admission =
        make_admission_query(caller, service, query, *choice,
                             answer_times_.expected(service.id, call.max_pieces, query.now));
    const admission_decision decision = parts_.limits.decide(admission);
    if (!decision.admitted()) {
        return refusal_of(decision);
    }
    running_request::options options{make_record(caller, call, query, route),
                                     caller.settings,
                                     caller.arrived,
                                     query.deadline,
                                     *choice,
                                     admission};
    auto running = std::make_shared<running_request>(parts_, self_, metrics_, answer_times_,
                                                     std::move(options));
    requests_.start(running);
    return admitted_request{std::move(running), call.stream};
}

void model_handler::answer(const admitted_request& admitted, piece_offset from,
                           httplib::Response& response) {
    set_request_id(response, admitted.running->record().caller_request_id);
    if (admitted.stream) {
        answer_stream(admitted.running, from, response);
    } else {
        answer_whole_text(admitted.running, response);
    }
}

void model_handler::answer_stream(const std::shared_ptr<running_request>& running,
                                  piece_offset from, httplib::Response& response) {
    const answer_log::view first = running->answer().wait(from, status_wait);
    if (const auto* refused = std::get_if<answer_refused>(&first.end);
        refused != nullptr && first.pieces.empty()) {
        set_problem(response, refused->error);
        requests_.remove(running->record().request);
        return;
    }
    const auto open = std::make_shared<scoped_count>(open_streams_);
    const auto provider = [this, running, open, next = from](std::size_t /*offset*/,
                                                             httplib::DataSink& sink) mutable {
        running->note_read(parts_.time.now());
        const answer_log::view seen = running->answer().wait(next, reader_poll);
        std::string events;
        for (const std::string& piece : seen.pieces) {
            events += piece_event(running->record(), next, piece);
            next = next.next();
        }
        if (!seen.running()) {
            events += end_events(running->record(), seen.end, next);
        }
        const bool there =
            events.empty() ? sink.is_writable() : sink.write(events.data(), events.size());
        if (!seen.running() && there) {
            sink.done();
        }
        return there;
    };
    // Also called when the connection broke: whoever does not read to the end has left.
    const auto release = [this, running](bool /*success*/) {
        const answer_log::view last = running->answer().wait(piece_offset(UINT32_MAX), millis{0});
        running->note_read(parts_.time.now());
        if (last.running()) {
            running->caller_gone();
        }
        if (!std::holds_alternative<answer_moved>(last.end)) {
            requests_.remove(running->record().request);
        }
    };
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", provider, release);
}

void model_handler::answer_whole_text(const std::shared_ptr<running_request>& running,
                                      httplib::Response& response) {
    while (!running->answer().wait_closed(reader_poll)) {
        running->note_read(parts_.time.now());
    }
    const answer_log::view seen = running->answer().wait(piece_offset(), millis{0});
    if (const auto* moved = std::get_if<answer_moved>(&seen.end)) {
        // Stays, so that a caller that asks here again is sent on.
        response.set_redirect(request_location(moved->address, running->record().request), 303);
        return;
    }
    if (const auto* whole = std::get_if<answer_whole>(&seen.end)) {
        const std::string text =
            std::accumulate(seen.pieces.begin(), seen.pieces.end(), std::string());
        response.set_content(whole_body(running->record(), text, seen.pieces.size(), *whole),
                             "application/json");
    } else if (const auto* refused = std::get_if<answer_refused>(&seen.end)) {
        set_problem(response, refused->error);
    } else {
        set_problem(response, make_problem(503, "caller_gone", "the request was given up"));
    }
    requests_.remove(running->record().request);
}

void model_handler::reconnect(const request_id& id, const httplib::Request& request,
                              httplib::Response& response) {
    const std::shared_ptr<running_request> running = requests_.find(id);
    if (running == nullptr) {
        problem error = make_problem(404, "unknown_request", "no such request runs at this node");
        error.outcome = run_outcome::unknown;
        set_problem(response, error);
        return;
    }
    const std::string accept = request.get_header_value("Accept");
    const bool stream = request.has_header("Last-Event-ID") ||
                        accept.find("text/event-stream") != std::string::npos;
    answer({running, stream}, offset_after_last_event(request), response);
}

absl::StatusOr<std::string> model_handler::take_over(const std::string& body, bool draining) {
    if (draining) {
        return absl::UnavailableError("this node is leaving");
    }
    absl::StatusOr<hand_over_record> record = decode_hand_over(body);
    if (!record.ok()) {
        return record.status();
    }
    const snapshot_ptr settings = parts_.boards.settings.current();
    if (settings == nullptr || settings->find_service(record->service) == nullptr) {
        return absl::UnavailableError("the service is not known here");
    }
    const time_point now = parts_.time.now();
    const time_point deadline = now + record->time_left;
    parts_.log.write(request_taken_over, {{"request", record->request.str()}});
    running_request::options options{*std::move(record), settings,     now,
                                     deadline,           std::nullopt, std::nullopt};
    (void)requests_.start(std::make_shared<running_request>(parts_, self_, metrics_, answer_times_,
                                                            std::move(options)));
    return std::string("taken");
}

} // namespace jujubetide
