#include "jujubetide/serving/engine_placement.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>
#include <array>
#include <limits>

namespace jujubetide {
namespace {

/// Prompt tokens that an engine reads in a millisecond before anything is learnt of it.
constexpr double default_tokens_per_ms = 40.0;
/// Time to a first event besides waiting and reading, in milliseconds.
constexpr double fixed_first_event_ms = 30.0;
/// Delay that each running call adds to the others, in milliseconds.
constexpr double delay_per_running_ms = 2.0;
/// Cost of reading shared tokens again, besides its time, as a multiple of that time: the engine
/// could have read another prompt.
constexpr double reread_weight = 1.0;
/// How surely the first and the second home of a prompt's shared parts hold them.
constexpr std::array<double, 2> home_belief = {0.9, 0.4};
/// Cost of a server whose answers all fail, in milliseconds.
constexpr double failure_cost_ms = 4'000.0;
/// Cost of each call beyond a server's slots, in milliseconds.
constexpr double beyond_slots_ms = 500.0;
/// Part of an engine's memory that running calls may hold before calls preempt each other.
constexpr double usable_memory = 0.85;
/// Cost of filling an engine's memory to the brim, in milliseconds.
constexpr double memory_cost_ms = 2'000.0;
/// Weight of a new observation of a server's speed.
constexpr double slowdown_weight = 0.1;
constexpr double least_slowdown = 0.3;
constexpr double most_slowdown = 6.0;

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

/// The servers with the two highest weights for `key`.
std::array<const backend_server*, 2> homes(std::string_view key,
                                           std::span<const backend_server* const> servers) {
    std::array<const backend_server*, 2> best{};
    std::array<std::uint64_t, 2> weights{};
    for (const backend_server* server : servers) {
        const std::uint64_t weight = rendezvous_weight(key, server->id.str());
        if (best[0] == nullptr || weight > weights[0]) {
            best[1] = best[0];
            weights[1] = weights[0];
            best[0] = server;
            weights[0] = weight;
        } else if (best[1] == nullptr || weight > weights[1]) {
            best[1] = server;
            weights[1] = weight;
        }
    }
    return best;
}

micros from_ms(double ms) {
    constexpr double micros_per_ms = 1'000.0;
    return micros(static_cast<std::int64_t>(ms * micros_per_ms));
}

} // namespace

std::optional<placement_choice>
least_running_placement::do_choose(const placement_query& query,
                                   std::span<const backend_server* const> candidates) {
    std::optional<placement_choice> best;
    double least = std::numeric_limits<double>::max();
    for (const backend_server* server : eligible(query, candidates, health_)) {
        const double score =
            static_cast<double>(loads_.total(server->id).running) /
                static_cast<double>(std::max<std::size_t>(1, server->slots)) +
            failure_cost_ms / fixed_first_event_ms * health_.failure_part(server->id, query.now);
        if (score < least) {
            least = score;
            best = placement_choice{server, from_ms(fixed_first_event_ms), 0, 0};
        }
    }
    return best;
}

std::optional<placement_choice>
engine_placement::do_choose(const placement_query& query,
                            std::span<const backend_server* const> candidates) {
    const auto servers = eligible(query, candidates, health_);
    if (servers.empty()) {
        return std::nullopt;
    }
    std::uint64_t shared = 0;
    std::string key;
    for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
        shared += query.parts[i].tokens;
        key = query.parts[i].id;
    }
    // A prompt's last shared part stands for all before it.
    const auto home = shared == 0 ? std::array<const backend_server*, 2>{} : homes(key, servers);
    std::optional<scored> best;
    for (const backend_server* server : servers) {
        double belief = 0.0;
        for (std::size_t i = 0; i < home.size(); ++i) {
            belief = server == home[i] ? home_belief[i] : belief;
        }
        const auto cached = static_cast<std::uint64_t>(static_cast<double>(shared) * belief);
        const scored one = score(query, *server, shared, cached);
        if (!best || one.score < best->score) {
            best = one;
        }
    }
    return best->choice;
}

engine_placement::scored engine_placement::score(const placement_query& query,
                                                 const backend_server& server, std::uint64_t shared,
                                                 std::uint64_t believed_cached) const {
    const server_load load = loads_.total(server.id);
    const std::uint64_t unread =
        query.prompt_tokens - std::min(query.prompt_tokens, believed_cached);
    const double rate = default_tokens_per_ms / slowdown(server.id);
    const double waiting = static_cast<double>(load.unread_tokens) / rate;
    const double reading = static_cast<double>(unread) / rate;
    const double beyond =
        std::max(0.0, static_cast<double>(load.running + 1) - static_cast<double>(server.slots));
    const double first_event = fixed_first_event_ms + waiting + reading + beyond * beyond_slots_ms;

    scored result;
    result.choice.server = &server;
    result.choice.first_event = from_ms(first_event);
    result.choice.unread_tokens = unread;
    result.choice.held_tokens = query.prompt_tokens + query.output_tokens;

    const double reread = static_cast<double>(shared - std::min(shared, believed_cached)) / rate;
    double memory = 0.0;
    if (query.service->engine && query.service->engine->kv_tokens.value() > 0) {
        const double part = static_cast<double>(load.held_tokens + result.choice.held_tokens) /
                            static_cast<double>(query.service->engine->kv_tokens.value());
        memory = std::max(0.0, part - usable_memory) * memory_cost_ms / (1.0 - usable_memory);
    }
    result.score = first_event + reread_weight * reread + memory +
                   delay_per_running_ms * static_cast<double>(load.running) +
                   failure_cost_ms * health_.failure_part(server.id, query.now);
    return result;
}

double engine_placement::slowdown(const backend_server_id& id) const {
    const auto found = slowdowns_.find(id);
    return found == slowdowns_.end() ? 1.0 : found->second;
}

void engine_placement::do_first_event(const placement_choice& choice, micros after) {
    if (choice.server == nullptr) {
        return;
    }
    double& factor = slowdowns_.try_emplace(choice.server->id, 1.0).first->second;
    const std::chrono::duration<double, std::milli> seen = after;
    const std::chrono::duration<double, std::milli> expected = choice.first_event;
    const double variable_seen = std::max(1.0, seen.count() - fixed_first_event_ms);
    const double variable_expected = std::max(1.0, expected.count() - fixed_first_event_ms);
    constexpr double telling_ms = 20.0;
    if (variable_expected < telling_ms) {
        return;
    }
    const double ratio = factor * variable_seen / variable_expected;
    factor += slowdown_weight * (std::clamp(ratio, least_slowdown, most_slowdown) - factor);
}

} // namespace jujubetide
