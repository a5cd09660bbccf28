#pragma once

#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/load_tracker.h"
#include "jujubetide/serving/prefix_cache_tracker.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/serving_config.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jujubetide {

/// What a placement is made for.
struct placement_query {
    const serving_service* service = nullptr;
    /// The prompt's parts in order; the last one is the call's own.
    std::span<const prompt_part> parts;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Servers that were tried already.
    std::span<const backend_server_id> tried;
    time_point now{};
};

struct placement_choice {
    const backend_server* server = nullptr;
    /// Estimated time to the first event, or to the answer's begin.
    micros first_event{0};
    /// The part of it that is due to other calls.
    micros waiting{0};
    /// The work before the first event at the nominal reading speed, for learning.
    micros nominal_work{0};
    /// Prompt tokens that the server is believed to have to read.
    std::uint64_t prefill_tokens = 0;
    /// Tokens that the call will hold in the server's memory.
    std::uint64_t held_tokens = 0;
};

/// Chooses the backend server for an attempt. The load that it answers: prompts of which most is
/// shared among calls, at engines whose reading of prompts is the scarce resource, chosen by many
/// nodes that each see a part of the calls. Not thread-safe.
class placement {
public:
    virtual ~placement() = default;
    /// Among `candidates`, which serve the right service; nothing when none can take the call.
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_query& query, std::span<const backend_server* const> candidates) {
        return do_choose(query, candidates);
    }
    /// The first event came `after` the attempt was sent.
    void on_first_event(const placement_choice& choice, micros after) {
        do_first_event(choice, after);
    }

protected:
    placement() = default;
    placement(const placement&) = default;
    placement& operator=(const placement&) = default;
    virtual std::optional<placement_choice>
    do_choose(const placement_query& query, std::span<const backend_server* const> candidates) = 0;
    virtual void do_first_event(const placement_choice&, micros) {}
};

/// The naive placement: fewest running calls.
class least_running_placement final : public placement {
public:
    least_running_placement(const load_tracker& loads, const server_health& health)
        : loads_(loads), health_(health) {}

protected:
    std::optional<placement_choice>
    do_choose(const placement_query& query,
              std::span<const backend_server* const> candidates) override;

private:
    const load_tracker& loads_;
    const server_health& health_;
};

/// Learns the time to a first event as a line over the work before it, by least squares over recent
/// observations. Not thread-safe.
class first_event_model {
public:
    first_event_model();

    void add(double work_ms, double seen_ms);
    /// Milliseconds that a call without any work takes.
    [[nodiscard]] double fixed_ms() const;
    /// Milliseconds for each of nominal work.
    [[nodiscard]] double slope() const;

private:
    void add_weighted(double work_ms, double seen_ms, double weight);

    double count_ = 0.0;
    double work_ = 0.0;
    double seen_ = 0.0;
    double work_squared_ = 0.0;
    double work_seen_ = 0.0;
};

/// Places by the estimated time to the first event, learnt from what came. A call leaves the
/// servers that have its prompt's shared parts in memory when waiting there costs more than reading
/// them again elsewhere.
class engine_placement final : public placement {
public:
    engine_placement(const load_tracker& loads, const server_health& health,
                     const prefix_cache_tracker& memory)
        : loads_(loads), health_(health), memory_(memory) {}

    /// Seconds that a server of the service takes to read this many tokens, as learnt.
    [[nodiscard]] double prefill_seconds(const service_id& service, std::uint64_t tokens) const;

protected:
    std::optional<placement_choice>
    do_choose(const placement_query& query,
              std::span<const backend_server* const> candidates) override;
    void do_first_event(const placement_choice& choice, micros after) override;

private:
    struct scored {
        placement_choice choice;
        double score = 0.0;
    };
    [[nodiscard]] scored score(const placement_query& query, const backend_server& server,
                               std::span<const prompt_prefix> shared) const;
    [[nodiscard]] double relative_slowdown(const backend_server_id& id) const;

    const load_tracker& loads_;
    const server_health& health_;
    const prefix_cache_tracker& memory_;
    absl::flat_hash_map<service_id, first_event_model> models_;
    /// How many times longer than its service's model a server takes.
    absl::flat_hash_map<backend_server_id, double> slowdowns_;
};

} // namespace jujubetide
