#include "jujubetide/serving/engine_placement.h"

#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/serving/load_leveling.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <utility>

namespace jujubetide {
namespace {

/// Time to the start of an answer that is assumed for plain services.
constexpr double default_fixed_ms = 40.0;
/// Answers that count in the average time of a plain service's answers, and how many of them make
/// it known: the first ones open connections.
constexpr unsigned averaged_answers = 20;
constexpr unsigned min_answers = 10;
/// Beyond this number of routes, those of earlier configurations are forgotten with the others.
constexpr std::size_t max_answer_routes = 10'000;
constexpr double min_answer_ms = 0.1;
/// Answers that take longer than this multiple of the average met a stall.
constexpr double max_answer_ratio = 4.0;
/// Plain servers whose speeds differ from the usual one by a smaller factor count as equal: each
/// of them gets calls, so that their speeds stay known.
constexpr double min_speed_difference = 1.1;
/// Delay that each running call adds to the others, in milliseconds.
constexpr double delay_per_running_ms = 2.0;
/// Cost of prefilling shared tokens again, in addition to its time and as a multiple of it: the
/// engine could have prefilled another prompt instead.
constexpr double repeated_prefill_weight = 1.0;
/// Cost of a transfer of cached tokens in addition to its time and as a multiple of it: it keeps
/// the links from other transfers.
constexpr double transfer_weight = 1.0;
/// Bonus of the server that all nodes prefer for a prompt that no server has cached, in
/// milliseconds.
constexpr double preferred_bonus_ms = 15.0;
/// Cost of a server whose answers all fail, in milliseconds.
constexpr double failure_cost_ms = 4'000.0;
/// Time until a place becomes free that is assumed before a call of the service has ended.
constexpr double default_place_interval_ms = 500.0;
/// Weight of a new observation in the average time of a service's calls.
constexpr double call_weight = 0.05;
/// Fraction of the KV cache that running calls may hold before they preempt each other.
constexpr double usable_memory_fraction = 0.85;
/// Cost of filling the KV cache completely, in milliseconds.
constexpr double memory_cost_ms = 2'000.0;

/// Servers that a call draws by their loads, of all and of those with its shared tokens, and that
/// a plain call draws at random: two choices avoid most of the bad luck of one.
constexpr std::size_t random_choices = 2;
/// A server counts as a holder of a prompt's shared tokens from this fraction of them on.
constexpr double min_cached_fraction = 0.5;

/// A number that is uniform in [0, 1); changes the seed.
double next_uniform(std::uint64_t& seed) {
    constexpr int mantissa_bits = 53;
    seed = stable_hash("draw", seed);
    return std::ldexp(static_cast<double>(seed >> (64 - mantissa_bits)), -mantissa_bits);
}

/// Keeps `count` of the servers.
void keep_random(std::vector<const backend_server*>& servers, std::size_t count,
                 std::uint64_t seed) {
    for (std::size_t i = 0; i < count && i < servers.size(); ++i) {
        const auto rest = static_cast<double>(servers.size() - i);
        std::swap(servers[i], servers[i + static_cast<std::size_t>(next_uniform(seed) * rest)]);
    }
    if (servers.size() > count) {
        servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(count), servers.end());
    }
}

bool was_tried(const placement_query& query, const backend_server& server) {
    return std::find(query.tried.begin(), query.tried.end(), server.id) != query.tried.end();
}

std::vector<const backend_server*> eligible(const placement_query& query,
                                            std::span<const backend_server* const> candidates,
                                            const server_health& health) {
    std::vector<const backend_server*> list;
    std::vector<const backend_server*> paused;
    for (const backend_server* server : candidates) {
        if (was_tried(query, *server)) {
            continue;
        }
        (health.is_paused(server->id, query.now) ? paused : list).push_back(server);
    }
    return list.empty() ? paused : list;
}

/// The server with the highest weight for `key`, the same at all nodes.
const backend_server* preferred_server(std::string_view key,
                                       std::span<const backend_server* const> servers) {
    const backend_server* best = nullptr;
    std::uint64_t highest = 0;
    for (const backend_server* server : servers) {
        const std::uint64_t weight = rendezvous_weight(key, server->id.str());
        if (best == nullptr || weight > highest) {
            best = server;
            highest = weight;
        }
    }
    return best;
}

/// `slowdown`, or 1 if the difference does not matter.
double notable(double slowdown) {
    return slowdown < min_speed_difference && slowdown > 1.0 / min_speed_difference ? 1.0
                                                                                    : slowdown;
}

micros from_ms(double ms) {
    constexpr double micros_per_ms = 1'000.0;
    return micros(static_cast<std::int64_t>(ms * micros_per_ms));
}

} // namespace

std::optional<placement_choice>
least_running_placement::do_choose(const placement_query& query,
                                   std::span<const backend_server* const> candidates) {
    std::vector<const backend_server*> servers = eligible(query, candidates, health_);
    if (query.nodes > 1) {
        keep_random(servers, random_choices, query.seed);
    }
    std::optional<placement_choice> best;
    double lowest_score = std::numeric_limits<double>::max();
    for (const backend_server* server : servers) {
        const double score =
            (1.0 + static_cast<double>(loads_.total(server->id).running)) /
                static_cast<double>(std::max<std::size_t>(1, server->slots)) *
                notable(speeds_.slowdown(server->id, query.now)) +
            failure_cost_ms / default_fixed_ms * health_.failure_rate(server->id, query.now);
        if (score < lowest_score) {
            lowest_score = score;
            best = placement_choice{};
            best->server = server;
            best->first_event = from_ms(default_fixed_ms);
            best->route = query.route;
            best->chosen_at = query.now;
        }
    }
    return best;
}

void least_running_placement::do_first_event(const placement_choice& choice, micros after) {
    if (choice.server == nullptr) {
        return;
    }
    const double seen =
        std::max(min_answer_ms, std::chrono::duration<double, std::milli>(after).count());
    if (answer_times_.size() > max_answer_routes) {
        answer_times_.clear();
    }
    answer_average& average = answer_times_[std::pair(choice.server->service, choice.route)];
    const double counted =
        average.answers == 0 ? seen : std::min(seen, max_answer_ratio * average.ms);
    average.answers = std::min(averaged_answers, average.answers + 1);
    average.ms += (counted - average.ms) / average.answers;
    if (average.answers >= min_answers) {
        speeds_.observe(choice.server->id, average.ms, seen, choice.chosen_at + after);
    }
}

std::optional<placement_choice>
engine_placement::do_choose(const placement_query& query,
                            std::span<const backend_server* const> candidates) {
    const auto servers = eligible(query, candidates, health_);
    if (servers.empty()) {
        return std::nullopt;
    }
    const call_state state = state_of(query, servers);
    const backend_server* preferred =
        query.parts.size() < 2 ? nullptr
                               : preferred_server(query.parts[query.parts.size() - 2].id, servers);
    std::optional<scored> best;
    for (const candidate& one : shortlist(state, servers, preferred)) {
        scored result = score(state, one);
        result.score -= one.server == preferred ? preferred_bonus_ms : 0.0;
        if (!best || result.score < best->score) {
            best = result;
        }
    }
    return best->choice;
}

std::vector<engine_placement::candidate>
engine_placement::shortlist(const call_state& of, std::span<const backend_server* const> servers,
                            const backend_server* preferred) const {
    const placement_query& query = of.query;
    std::vector<candidate> list;
    if (query.nodes <= 1) {
        for (const backend_server* server : servers) {
            list.push_back({server});
        }
        return list;
    }
    std::vector<double> loads;
    std::vector<std::size_t> holders;
    std::vector<double> holder_loads;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const server_cost cost = cost_of(query, *servers[i]);
        loads.push_back(cost.waiting_ms + cost.overload_ms + cost.other_ms +
                        static_cast<double>(query.prompt_tokens) * cost.ms_per_token);
        const auto cache = of.fetching.caches.find(servers[i]->id);
        if (cache != of.fetching.caches.end() &&
            cache->second.tokens >= min_cached_fraction * of.shared_tokens) {
            holders.push_back(i);
            holder_loads.push_back(loads.back());
        }
    }
    const double unreported =
        std::chrono::duration<double, std::milli>(query.unreported_work).count();
    const load_leveling all(loads, unreported);
    const auto add = [&](std::size_t index) {
        list.push_back({servers[index], std::max(0.0, all.level() - loads[index])});
    };
    std::uint64_t seed = query.seed;
    for (std::size_t i = 0; i < random_choices; ++i) {
        add(all.draw(next_uniform(seed)));
    }
    if (!holders.empty()) {
        const auto part = static_cast<double>(holders.size()) / static_cast<double>(servers.size());
        const load_leveling among_holders(holder_loads, unreported * part);
        for (std::size_t i = 0; i < random_choices; ++i) {
            add(holders[among_holders.draw(next_uniform(seed))]);
        }
    }
    const auto found = std::find(servers.begin(), servers.end(), preferred);
    if (found != servers.end()) {
        add(static_cast<std::size_t>(found - servers.begin()));
    }
    return list;
}

engine_placement::call_state
engine_placement::state_of(const placement_query& query,
                           std::span<const backend_server* const> servers) const {
    const std::vector<prompt_prefix> shared = shared_prefixes(query.parts);
    call_state state{
        query, shared.empty() ? 0.0 : static_cast<double>(shared.back().tokens), {}, {}};
    state.fetching.caches = memory_.expected(shared, query.now);
    state.fetching.key = query.parts.empty() ? std::string_view() : query.parts.back().id;
    state.fetching.time_to_target = query.time_to_target;
    state.fetching.now = query.now;
    if (query.service->engine && query.service->engine->cache_link) {
        state.fetching.link = &*query.service->engine->cache_link;
    }
    state.holders = fetches_.holders(state.fetching, servers);
    return state;
}

engine_placement::server_cost engine_placement::cost_of(const placement_query& query,
                                                        const backend_server& server) const {
    const server_load load = loads_.total(server.id);
    server_cost cost;
    cost.ms_per_token =
        model_of(query.service->id).ms_per_token() * speeds_.slowdown(server.id, query.now);
    cost.tokens_ahead = load.prefill_tokens; // Engines prefill in the order of arrival.
    cost.waiting_ms = static_cast<double>(cost.tokens_ahead) * cost.ms_per_token;
    cost.overload_ms = place_interval_ms(server) *
                       static_cast<double>(load.calls_ahead(query.urgency, server.slots));
    cost.other_ms =
        memory_cost(*query.service, load.held_tokens + query.prompt_tokens + query.output_tokens) +
        delay_per_running_ms * static_cast<double>(load.running) +
        failure_cost_ms * health_.failure_rate(server.id, query.now);
    return cost;
}

engine_placement::scored engine_placement::score(const call_state& of, const candidate& one) const {
    const placement_query& query = of.query;
    const backend_server& server = *one.server;
    const auto cache = of.fetching.caches.find(server.id);
    double cached = cache == of.fetching.caches.end() ? 0.0 : cache->second.tokens;
    const server_cost cost = cost_of(query, server);
    const double waiting_ms = cost.waiting_ms + cost.overload_ms;
    const double before_prefill_ms = model_of(query.service->id).fixed_ms() + waiting_ms;
    const auto unread = [&query](double cached_tokens) {
        return query.prompt_tokens -
               std::min(query.prompt_tokens, static_cast<std::uint64_t>(cached_tokens));
    };

    scored result;
    result.choice.fetch =
        fetches_.plan(of.fetching, of.holders, server,
                      {before_prefill_ms + static_cast<double>(unread(cached)) * cost.ms_per_token,
                       cost.waiting_ms, cost.ms_per_token});
    double fetch_ms = 0.0;
    if (result.choice.fetch) {
        cached += static_cast<double>(result.choice.fetch->tokens);
        fetch_ms = std::chrono::duration<double, std::milli>(result.choice.fetch->duration).count();
    }
    const std::uint64_t prefill = unread(cached);
    const double first_event =
        before_prefill_ms + fetch_ms + static_cast<double>(prefill) * cost.ms_per_token;
    result.choice.server = &server;
    result.choice.first_event = from_ms(first_event);
    result.choice.waiting = from_ms(waiting_ms);
    result.choice.place_wait = from_ms(cost.overload_ms);
    result.choice.tokens_before = cost.tokens_ahead + prefill;
    result.choice.chosen_at = query.now;
    result.choice.prefill_tokens = prefill;
    result.choice.held_tokens = query.prompt_tokens + query.output_tokens;
    result.choice.urgency = query.urgency;

    const double repeated_prefill_ms = std::max(0.0, of.shared_tokens - cached) * cost.ms_per_token;
    result.score = first_event + repeated_prefill_weight * repeated_prefill_ms +
                   transfer_weight * fetch_ms + cost.other_ms +
                   // On average, the fixed time that was learnt has these calls in it.
                   one.unreported_ms;
    return result;
}

double engine_placement::place_interval_ms(const backend_server& server) const {
    const auto found = call_ms_.find(server.service);
    return found == call_ms_.end()
               ? default_place_interval_ms
               : found->second / static_cast<double>(std::max<std::size_t>(1, server.slots));
}

double engine_placement::memory_cost(const serving_service& service, std::uint64_t held_tokens) {
    if (!service.engine || service.engine->kv_tokens.value() == 0) {
        return 0.0;
    }
    const double fraction =
        static_cast<double>(held_tokens) / static_cast<double>(service.engine->kv_tokens.value());
    return std::max(0.0, fraction - usable_memory_fraction) * memory_cost_ms /
           (1.0 - usable_memory_fraction);
}

double engine_placement::prefill_seconds(const service_id& service, std::uint64_t tokens) const {
    constexpr double ms_per_second = 1'000.0;
    return static_cast<double>(tokens) * model_of(service).ms_per_token() / ms_per_second;
}

const first_event_model& engine_placement::model_of(const service_id& service) const {
    static const first_event_model assumed;
    const auto found = models_.find(service);
    return found == models_.end() ? assumed : found->second;
}

void engine_placement::do_sent(const placement_choice& choice, time_point now) {
    if (choice.server != nullptr && choice.fetch) {
        fetches_.on_sent(choice.server->id, *choice.fetch, now);
    }
}

void engine_placement::do_ended(const placement_choice& choice, micros after) {
    if (choice.server == nullptr) {
        return;
    }
    const double seen =
        std::chrono::duration<double, std::milli>(std::max(micros{0}, after - choice.place_wait))
            .count();
    double& average = call_ms_.try_emplace(choice.server->service, seen).first->second;
    average += call_weight * (seen - average);
}

void engine_placement::do_first_event(const placement_choice& choice, micros after) {
    if (choice.server == nullptr || choice.place_wait > micros{0}) {
        return; // A wait for a place says nothing of the server's speed.
    }
    const std::chrono::duration<double, std::milli> observed =
        std::max(micros{0}, after - (choice.fetch ? choice.fetch->duration : micros{0}));
    const auto tokens = static_cast<double>(choice.tokens_before);
    first_event_model& line = models_[choice.server->service];
    speeds_.observe(choice.server->id, line.fixed_ms() + tokens * line.ms_per_token(),
                    observed.count(), choice.chosen_at + after);
    line.add(tokens, observed.count());
}

} // namespace jujubetide
