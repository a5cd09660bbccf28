#include "node/server_selector.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Maximum retry delay for a caller that was refused because of servers' limits.
constexpr micros max_limited_retry_after{2'000'000};
/// Shortest retry delay while every server of the service is evacuated.
constexpr micros evacuated_retry_after{1'000'000};

bool was_reached(const server_selector::call_state& of, const endpoint& address) {
    return std::find(of.reached.begin(), of.reached.end(), address) != of.reached.end();
}

} // namespace

server_selector::selection server_selector::select(const call_state& of) {
    const candidate_list list = candidates(of);
    selection result;
    result.candidates = list.servers.size();
    result.choice = place(of, list.servers);
    if (!result.choice) {
        if (list.limited > 0) {
            result.reason = limit_refusal(of, list);
        } else if (list.servers.empty() && state_.backends.is_evacuated(of.service.id)) {
            result.reason = evacuation_refusal(of);
        }
    } else {
        result.reason = admit(of, *result.choice);
    }
    return result;
}

server_selector::candidate_list server_selector::candidates(const call_state& of) {
    candidate_list list;
    list.servers = state_.backends.usable(of.service.id);
    std::erase_if(list.servers, [this, &of](const backend_server* server) {
        return !state_.trials.may_send(*server, state_.backends) ||
               was_reached(of, server->address);
    });
    std::erase_if(list.servers, [this, &list](const backend_server* server) {
        const bool has_room = state_.brittle.may_send(
            server->id, server->slots, state_.loads.total(server->id).running, state_.time.now());
        if (has_room && state_.limits.may_send(server->id, state_.time.wall_now())) {
            return false;
        }
        ++list.limited;
        list.limited_interval =
            std::min(list.limited_interval, has_room ? state_.limits.call_interval(server->id)
                                                     : brittle_servers::report_delay);
        return true;
    });
    return list;
}

std::optional<placement_choice>
server_selector::place(const call_state& of, std::span<const backend_server* const> servers) {
    placement_query sought;
    sought.service = &of.service;
    sought.route = of.route.id;
    sought.parts = of.fields.prompt_parts;
    sought.prompt_tokens = of.fields.prompt_tokens;
    sought.output_tokens =
        std::min(of.fields.max_output_tokens,
                 of.fields.expected_output_tokens.value_or(of.fields.max_output_tokens));
    sought.urgency = urgency_of(of.route, of.customer);
    sought.tried = of.tried;
    // The next event of a stream that has begun is late after the longest pause.
    sought.time_to_target = of.has_begun
                                ? of.route.max_event_gap
                                : std::max<micros>(micros{0}, of.route.target - of.elapsed);
    sought.nodes = state_.nodes;
    if (const auto work = state_.unreported_work.find(of.service.id);
        work != state_.unreported_work.end()) {
        sought.unreported_work = work->second;
    }
    sought.seed = state_.random();
    sought.now = state_.time.now();
    if (of.service.engine) {
        return state_.engines.choose(sought, servers);
    }
    return state_.plain.choose(sought, servers);
}

call_admission::query server_selector::admission_query_of(const call_state& of,
                                                          const placement_choice& choice) const {
    call_admission::query query;
    query.wait.service = of.service.id;
    query.wait.route = of.route.id;
    query.wait.urgency = urgency_of(of.route, of.customer);
    query.wait.target = of.route.target;
    query.wait.elapsed = of.elapsed;
    query.wait.time_left = of.time_left;
    query.wait.waiting = choice.waiting;
    query.wait.prefill_time = choice.first_event - choice.waiting;
    query.wait.first_event = choice.first_event;
    query.wait.prompt_tokens = of.fields.prompt_tokens;
    query.wait.now = state_.time.now();
    if (of.customer != nullptr) {
        query.customer = of.customer->id;
        query.cap_per_second = of.customer->cap_per_second;
        query.usage = of.charged;
    } else {
        query.usage = static_cast<double>(of.fields.prompt_tokens + of.fields.max_output_tokens);
    }
    return query;
}

std::optional<server_selector::refusal> server_selector::admit(const call_state& of,
                                                               const placement_choice& choice) {
    const call_admission::query query = admission_query_of(of, choice);
    if (of.route.kind != call_kind::streaming || of.has_begun) {
        state_.admission.on_sent(query);
        return std::nullopt;
    }
    return of.tried.empty() ? state_.admission.decide(query) : state_.admission.decide_again(query);
}

server_selector::refusal server_selector::limit_refusal(const call_state& of,
                                                        const candidate_list& list) {
    const micros wait = state_.admission.return_time(admission_query_of(of, placement_choice{}),
                                                     list.limited_interval);
    return {"server_limits", std::min(max_limited_retry_after, wait)};
}

server_selector::refusal server_selector::evacuation_refusal(const call_state& of) {
    return {"evacuated", state_.admission.return_time(admission_query_of(of, placement_choice{}),
                                                      evacuated_retry_after)};
}

} // namespace jujubetide
