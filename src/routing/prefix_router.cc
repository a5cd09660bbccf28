// With few servers every one is estimated. With many, a sample is enough: those known to hold the
// prompt's prefix, the first in the prompt's rendezvous order, on which all nodes agree without
// messages, and some drawn evenly by the request's hash, which keep the load level.
#include "jujubetide/routing/prefix_router.h"

#include "eligibility.h"

#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/routing/prompt_blocks.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

constexpr double tokens_per_block = double{prompt_block_bytes} / bytes_per_token;
/// Weight of a new observation in the mean holding time.
constexpr double holding_time_weight = 0.05;
/// Weight of a new observation in a server's slowdown.
constexpr double slowdown_weight = 0.05;
constexpr double max_slowdown = 8.0;
/// Attempts sent longer ago are in every load report that still counts.
constexpr micros attempt_memory{3'000'000};
/// Expectations below this say little of the server's speed.
constexpr micros shortest_expected{50'000};

using server_list = std::vector<const backend_server_settings*>;

server_hash hash_of(const backend_server_settings& server) {
    return server_hash(server.id_hash != 0 ? server.id_hash : stable_hash(server.id.str()));
}

void add_new(server_list& list, const backend_server_settings* server) {
    if (std::find(list.begin(), list.end(), server) == list.end()) {
        list.push_back(server);
    }
}

/// The `count` candidates with the highest rendezvous weight for `key`.
server_list first_in_order(std::uint64_t key,
                           std::span<const backend_server_settings* const> candidates,
                           std::size_t count) {
    std::vector<std::pair<std::uint64_t, const backend_server_settings*>> weighted;
    weighted.reserve(candidates.size());
    for (const backend_server_settings* server : candidates) {
        weighted.emplace_back(rendezvous_weight(key, hash_of(*server).value()), server);
    }
    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(), std::greater<>());
    server_list first;
    for (std::size_t i = 0; i < kept; ++i) {
        first.push_back(weighted[i].second);
    }
    return first;
}

} // namespace

prefix_router::prefix_router(backend_board& board, const clock& time, prefix_router_options options)
    : board_(board), time_(time), options_(options) {}

void prefix_router::on_cache_event(const backend_server_id& server, const cache_event& event) {
    const server_hash hash(stable_hash(server.str()));
    if (event.stored) {
        index_.on_stored(hash, event.prefix_hash, time_.now());
    } else {
        index_.on_dropped(hash, event.prefix_hash);
    }
}

absl::StatusOr<route_choice>
prefix_router::do_choose(const route_query& query,
                         std::span<const backend_server_settings* const> candidates) {
    const std::vector<prefix_holder> holders = index_.find(query.prefix_hashes);
    const std::uint64_t key = index_.home_key(query.prefix_hashes);
    server_list usable = eligible_servers(query, sample(query, candidates, holders, key), board_);
    if (usable.empty()) {
        usable = eligible_servers(query, candidates, board_);
    }
    if (usable.empty()) {
        return absl::UnavailableError("no backend server can take the request");
    }
    const server_list home = key == 0 ? server_list{} : first_in_order(key, usable, 1);
    std::vector<scored> scores;
    scores.reserve(usable.size());
    for (const backend_server_settings* server : usable) {
        const bool is_home = !home.empty() && home.front() == server;
        scores.push_back(score(query, *server, holders, is_home));
    }
    const auto by_score = [](const scored& a, const scored& b) { return a.score < b.score; };
    const double best = std::min_element(scores.begin(), scores.end(), by_score)->score;
    const double limit = best + static_cast<double>(options_.near_tie.count());
    const auto chosen =
        std::min_element(scores.begin(), scores.end(), [limit](const scored& a, const scored& b) {
            if ((a.score <= limit) != (b.score <= limit)) {
                return a.score <= limit;
            }
            if (a.server->price != b.server->price) {
                return a.server->price < b.server->price;
            }
            return a.score < b.score;
        });
    return route_choice{chosen->server->id, chosen->estimate.first_piece(),
                        token_count(static_cast<std::uint64_t>(chosen->cached_tokens))};
}

server_list prefix_router::sample(const route_query& query,
                                  std::span<const backend_server_settings* const> candidates,
                                  const std::vector<prefix_holder>& holders,
                                  std::uint64_t home_key) const {
    if (candidates.size() <= options_.full_scan_limit) {
        return {candidates.begin(), candidates.end()};
    }
    server_list sampled;
    if (home_key != 0) {
        sampled = first_in_order(home_key, candidates, options_.home_sample);
    }
    if (!holders.empty()) {
        for (const backend_server_settings* server : candidates) {
            const server_hash hash = hash_of(*server);
            if (std::any_of(holders.begin(), holders.end(),
                            [hash](const prefix_holder& one) { return one.server == hash; })) {
                add_new(sampled, server);
            }
        }
    }
    const std::uint64_t request_hash = stable_hash(query.request.str());
    for (std::size_t i = 0; i < options_.even_sample; ++i) {
        const std::uint64_t draw = rendezvous_weight(request_hash, i);
        add_new(sampled, candidates[draw % candidates.size()]);
    }
    return sampled;
}

prefix_router::scored prefix_router::score(const route_query& query,
                                           const backend_server_settings& server,
                                           const std::vector<prefix_holder>& holders,
                                           bool is_home) const {
    const auto prompt = static_cast<double>(query.prompt_tokens.value());
    const server_hash hash = hash_of(server);
    double cached = 0.0;
    for (const prefix_holder& holder : holders) {
        if (holder.server == hash) {
            cached = likely_cached_tokens(query, holder);
        }
    }
    double believed = cached;
    if (is_home) {
        believed += options_.home_cached_part * (prompt - cached);
    }
    const backend_state state = board_.state(server.id);
    const own_work own = own_work_on(server.id, state);
    const auto entries = static_cast<double>(active_entries_.load());
    estimate_inputs inputs;
    inputs.uncached_tokens = std::max(0.0, prompt - cached);
    inputs.mean_holding_time = mean_holding_.get(query.service).value_or(micros{0});
    inputs.sent_since_report = own.sent_since_report * entries;
    inputs.unstarted_tokens = own.unstarted_tokens;
    inputs.slowdown = slowdowns_.get(server.id).value_or(slowdown{}).factor;
    inputs.now = query.now;
    scored result;
    result.server = &server;
    result.estimate = estimate_server(server, state, inputs);
    result.cached_tokens = cached;
    const double believed_prefill =
        std::max(0.0, prompt - believed) * inputs.slowdown / server.prefill_tokens_per_second * 1e6;
    result.score =
        static_cast<double>(result.estimate.queue.count()) +
        believed_prefill * (1.0 + options_.recompute_weight) +
        result.estimate.occupancy * static_cast<double>(options_.full_server_delay.count());
    return result;
}

double prefix_router::likely_cached_tokens(const route_query& query,
                                           const prefix_holder& holder) const {
    const std::chrono::duration<double> age = query.now - holder.confirmed;
    const std::chrono::duration<double> half_life = options_.cache_half_life;
    const double belief = std::exp2(-std::max(0.0, age.count()) / half_life.count());
    const double tokens = static_cast<double>(holder.blocks) * tokens_per_block;
    return belief * std::min(tokens, static_cast<double>(query.prompt_tokens.value()));
}

prefix_router::own_work prefix_router::own_work_on(const backend_server_id& server,
                                                   const backend_state& state) const {
    const time_point reported =
        state.has_load ? state.load_received_at - load_report_delay : time_point();
    own_work sums;
    attempts_.visit(server, [&](const attempt_list& list) {
        for (const own_attempt& attempt : list) {
            if (attempt.sent < reported || attempt.ended) {
                continue;
            }
            sums.sent_since_report += 1.0;
            sums.unstarted_tokens += attempt.started ? 0.0 : attempt.uncached_tokens;
        }
    });
    return sums;
}

void prefix_router::mark_attempt(const backend_server_id& server, const request_id& request,
                                 bool own_attempt::*mark) {
    attempts_.update(server, [&](attempt_list& list) {
        for (own_attempt& attempt : list) {
            if (attempt.request == request) {
                attempt.*mark = true;
            }
        }
    });
}

void prefix_router::do_on_sent(const route_query& query, const route_choice& choice) {
    const token_count uncached =
        query.prompt_tokens - std::min(query.prompt_tokens, choice.expected_cached);
    board_.on_sent(choice.server, uncached);
    index_.record(server_hash(stable_hash(choice.server.str())), query.prefix_hashes, query.now);
    attempts_.update(choice.server, [&](attempt_list& list) {
        std::erase_if(list, [&query](const own_attempt& attempt) {
            return attempt.sent + attempt_memory < query.now;
        });
        list.push_back({query.request, query.now, static_cast<double>(uncached.value())});
    });
}

void prefix_router::do_on_first_piece(const route_query& query, const route_choice& choice) {
    mark_attempt(choice.server, query.request, &own_attempt::started);
    const std::chrono::duration<double> seen = time_.now() - query.now;
    const std::chrono::duration<double> expected =
        std::max(choice.estimated_first_piece, shortest_expected);
    slowdowns_.update(choice.server, [&](slowdown& known) {
        const double observed = known.factor * (seen / expected);
        const double step = slowdown_weight * (std::min(observed, max_slowdown) - known.factor);
        known.factor = std::clamp(known.factor + step, 1.0, max_slowdown);
    });
}

void prefix_router::do_on_finished(const route_query& query, const route_choice& choice,
                                   token_count /*cached*/, bool completed) {
    board_.on_finished(choice.server);
    mark_attempt(choice.server, query.request, &own_attempt::ended);
    if (!completed) {
        return;
    }
    const micros holding = time_.now() - query.now;
    mean_holding_.update(query.service, [holding](micros& mean) {
        if (mean == micros{0}) {
            mean = holding;
            return;
        }
        const double step = holding_time_weight * static_cast<double>((holding - mean).count());
        mean += micros(static_cast<std::int64_t>(step));
    });
}

} // namespace jujubetide
