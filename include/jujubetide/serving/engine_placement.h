#pragma once

#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/cache_fetch_planner.h"
#include "jujubetide/serving/first_event_model.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/prefix_cache_tracker.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/server_speed.h"
#include "jujubetide/serving/serving_config.h"
#include "jujubetide/serving/urgency_level.h"

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// The call for which a server is to be chosen.
struct placement_query {
    const serving_service* service = nullptr;
    route_id route;
    /// Parts of the prompt in order; only the last one is specific to the call.
    std::span<const prompt_part> parts;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    urgency_level urgency;
    /// Servers that the call has already been sent to.
    std::span<const backend_server_id> tried;
    /// Until the answer, or its first event, is late.
    micros time_to_target = micros::max();
    /// Nodes that choose servers at the same time, this one included.
    std::size_t nodes = 1;
    /// Work that the other nodes have sent to the service's servers and not reported yet.
    micros unreported_work{0};
    /// Differs between calls and nodes, so that these do not all choose the same server.
    std::uint64_t seed = 0;
    time_point now{};
};

struct placement_choice {
    const backend_server* server = nullptr;
    /// Estimated time to the first event, or to the start of the answer.
    micros first_event{0};
    /// The part of `first_event` that is queueing behind other calls.
    micros waiting{0};
    /// The part of `waiting` in which other calls have to give up their places.
    micros place_wait{0};
    /// Tokens to be prefilled before the first event, also those of other calls.
    std::uint64_t tokens_before = 0;
    route_id route;
    time_point chosen_at{};
    /// Estimated number of prompt tokens that the server has to prefill.
    std::uint64_t prefill_tokens = 0;
    /// Tokens that the call will hold in the server's KV cache.
    std::uint64_t held_tokens = 0;
    urgency_level urgency;
    /// What the server is to fetch before it prefills the rest.
    std::optional<cache_fetch> fetch = std::nullopt;
};

/// Chooses the backend server for an attempt. Designed for prompts that share most of their tokens
/// with other calls, engines whose bottleneck is prefill, and many nodes that choose independently
/// and each see only part of the calls. Not thread-safe.
class placement {
public:
    virtual ~placement() = default;
    /// Chooses among `candidates`, which serve the call's service; nullopt if none can take it.
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_query& query, std::span<const backend_server* const> candidates) {
        return do_choose(query, candidates);
    }
    /// Reports that an attempt was sent to the chosen server.
    void on_sent(const placement_choice& choice, time_point now) { do_sent(choice, now); }
    /// Reports that the first event, or the whole answer of a plain service, arrived `after` the
    /// attempt was sent.
    void on_first_event(const placement_choice& choice, micros after) {
        do_first_event(choice, after);
    }
    /// Reports that the answer was whole `after` the attempt was sent.
    void on_ended(const placement_choice& choice, micros after) { do_ended(choice, after); }
    /// The server stopped or restarted.
    void forget(const backend_server_id& id) { do_forget(id); }

protected:
    placement() = default;
    placement(const placement&) = default;
    placement& operator=(const placement&) = default;
    virtual std::optional<placement_choice>
    do_choose(const placement_query& query, std::span<const backend_server* const> candidates) = 0;
    virtual void do_sent(const placement_choice&, time_point) {}
    virtual void do_first_event(const placement_choice&, micros) {}
    virtual void do_ended(const placement_choice&, micros) {}
    virtual void do_forget(const backend_server_id&) {}
};

/// The placement of plain services: the server with the shortest expected wait, by its running
/// calls for its slots and its speed. Where several nodes choose, each takes the better of two
/// random servers: reported calls have ended by the time they are heard of.
class least_running_placement final : public placement {
public:
    least_running_placement(const load_tracker& loads, const server_health& health)
        : loads_(loads), health_(health) {}

protected:
    std::optional<placement_choice>
    do_choose(const placement_query& query,
              std::span<const backend_server* const> candidates) override;
    void do_first_event(const placement_choice& choice, micros after) override;
    void do_forget(const backend_server_id& id) override { speeds_.forget(id); }

private:
    const load_tracker& loads_;
    const server_health& health_;
    /// Average time to an answer, in milliseconds, over up to as many answers as still count.
    struct answer_average {
        double ms = 0.0;
        unsigned answers = 0;
    };

    /// Calls of different routes differ.
    absl::flat_hash_map<std::pair<service_id, route_id>, answer_average> answer_times_;
    server_speed speeds_;
};

/// Places calls by an estimate of the time to the first event, fitted to observed times. A call
/// goes to a server that has not cached the shared parts of its prompt when waiting for one that
/// has costs more than prefilling them again.
class engine_placement final : public placement {
public:
    engine_placement(const load_tracker& loads, const server_health& health,
                     const prefix_cache_tracker& memory)
        : loads_(loads), health_(health), memory_(memory), fetches_(loads, health) {}

    /// Seconds that a server of the service takes to prefill `tokens`, according to the model.
    [[nodiscard]] double prefill_seconds(const service_id& service, std::uint64_t tokens) const;

protected:
    std::optional<placement_choice>
    do_choose(const placement_query& query,
              std::span<const backend_server* const> candidates) override;
    void do_sent(const placement_choice& choice, time_point now) override;
    void do_first_event(const placement_choice& choice, micros after) override;
    void do_ended(const placement_choice& choice, micros after) override;
    void do_forget(const backend_server_id& id) override { speeds_.forget(id); }

private:
    struct scored {
        placement_choice choice;
        double score = 0.0;
    };
    /// What the scores of all servers for a call depend on.
    struct call_state {
        const placement_query& query;
        /// Tokens of the prompt that other calls may share.
        double shared_tokens = 0.0;
        cache_fetch_planner::call fetching;
        /// From which tokens may be fetched.
        std::vector<cache_fetch_planner::holder> holders;
    };
    [[nodiscard]] call_state state_of(const placement_query& query,
                                      std::span<const backend_server* const> servers) const;
    /// The load of a server for a call of this kind, whatever the server has cached.
    struct server_cost {
        double ms_per_token = 0.0;
        /// Prompt tokens that are prefilled before the call's.
        std::uint64_t tokens_ahead = 0;
        /// Time until those are prefilled and the call has a place.
        double waiting_ms = 0.0;
        double overload_ms = 0.0;
        /// Cost of the calls that run there, of its memory and of its failures.
        double other_ms = 0.0;
    };
    [[nodiscard]] server_cost cost_of(const placement_query& query,
                                      const backend_server& server) const;
    struct candidate {
        const backend_server* server = nullptr;
        /// Expected prefill of calls that other nodes have sent there and not reported yet.
        double unreported_ms = 0.0;
    };
    /// The servers among which a call chooses.
    [[nodiscard]] std::vector<candidate> shortlist(const call_state& of,
                                                   std::span<const backend_server* const> servers,
                                                   const backend_server* preferred) const;
    [[nodiscard]] scored score(const call_state& of, const candidate& one) const;
    /// The cost of filling the server's cache, in milliseconds.
    [[nodiscard]] static double memory_cost(const serving_service& service,
                                            std::uint64_t held_tokens);
    [[nodiscard]] const first_event_model& model_of(const service_id& service) const;
    /// Time until one of the server's places becomes free, while all are taken.
    [[nodiscard]] double place_interval_ms(const backend_server& server) const;

    const load_tracker& loads_;
    const server_health& health_;
    const prefix_cache_tracker& memory_;
    cache_fetch_planner fetches_;
    absl::flat_hash_map<service_id, first_event_model> models_;
    /// Average time for which a call keeps its place.
    absl::flat_hash_map<service_id, double> call_ms_;
    server_speed speeds_;
};

} // namespace jujubetide
