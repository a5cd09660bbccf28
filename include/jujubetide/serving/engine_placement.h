#pragma once

#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/load_board.h"
#include "jujubetide/serving/server_health.h"
#include "jujubetide/serving/serving_config.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace jujubetide {

/// A piece of a prompt that other calls may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// What a placement is made for.
struct placement_query {
    const serving_service* service = nullptr;
    /// The prompt's parts in order; the last one is the call's own.
    std::span<const prompt_part> parts;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    failure_domain_id failure_domain;
    /// Servers that were tried already.
    std::span<const backend_server_id> tried;
    time_point now{};
};

struct placement_choice {
    const backend_server* server = nullptr;
    /// Estimated time to the first event, or to the answer's begin.
    micros first_event{0};
    /// Prompt tokens that the server is believed to have to read.
    std::uint64_t unread_tokens = 0;
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
    least_running_placement(const load_board& loads, const server_health& health)
        : loads_(loads), health_(health) {}

protected:
    std::optional<placement_choice>
    do_choose(const placement_query& query,
              std::span<const backend_server* const> candidates) override;

private:
    const load_board& loads_;
    const server_health& health_;
};

/// Places by the estimated time to the first event. A prompt's shared parts have a home, the same
/// at all nodes, where they are believed to be in memory; a call leaves the home when waiting there
/// costs more than reading the shared parts again elsewhere.
class engine_placement final : public placement {
public:
    engine_placement(const load_board& loads, const server_health& health)
        : loads_(loads), health_(health) {}

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
                               std::uint64_t shared, std::uint64_t believed_cached) const;
    [[nodiscard]] double slowdown(const backend_server_id& id) const;

    const load_board& loads_;
    const server_health& health_;
    /// How many times longer than estimated a server takes.
    absl::flat_hash_map<backend_server_id, double> slowdowns_;
};

} // namespace jujubetide
