#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jujubetide::model {

/// A request as the model knows it.
struct model_request {
    std::uint64_t number = 0;
    std::size_t service = 0;
    std::size_t customer = 0;
    std::uint64_t session = 0;
    /// Tokens at the beginning of the prompt that all prompts of the service share.
    std::uint32_t shared_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    /// Leading prompt tokens that earlier requests of the session, or of the service, had already.
    std::uint32_t known_tokens = 0;
    std::uint32_t output_tokens = 0;
    int priority = 0;
    time_point arrival{};
    /// The latest time of the first piece.
    time_point first_piece_due{};
};

struct engine_model_options {
    double prefill_tokens_per_second = 20'000.0;
    std::size_t max_running = 32;
    std::uint32_t cache_tokens = 800'000;
    /// Prompt tokens processed in one step, at the most.
    std::uint32_t chunk_tokens = 512;
    micros step_time{12'000};
    micros step_time_per_request{250};
};

/// What happened in one step of an engine.
struct step_result {
    micros duration{0};
    std::vector<model_request> first_pieces;
    std::vector<model_request> finished;
    std::uint64_t processed_prompt_tokens = 0;
    /// Of these, tokens that some engine had processed or generated before.
    std::uint64_t recomputed_prompt_tokens = 0;
};

/// A request that was taken off an engine, with what it had generated.
struct displaced_request {
    model_request request;
    std::uint32_t generated = 0;
    bool had_first_piece = false;
};

/// A model engine with continuous batching, chunked prefill, priorities and a prefix cache of
/// limited size. Time passes in steps; the caller schedules them.
class engine_model {
public:
    explicit engine_model(engine_model_options options) : options_(options) {}

    void submit(const model_request& request, std::uint32_t generated);
    [[nodiscard]] bool idle() const { return waiting_.empty() && running_.empty(); }
    /// Runs one step over what is present.
    step_result step();
    [[nodiscard]] load_report report() const;
    /// Takes everything off, for an engine whose host is reclaimed.
    std::vector<displaced_request> displace_all();

private:
    struct work {
        model_request request;
        std::uint32_t generated = 0;
        std::uint32_t prefill_left = 0;
        /// Tokens of `prefill_left` at the start that were processed before, here or elsewhere.
        std::uint32_t recomputed = 0;
        bool first_piece_given = false;
    };
    struct cached_session {
        std::uint64_t session;
        std::uint32_t tokens;
    };
    using lru_list = std::list<cached_session>;

    void start_waiting();
    [[nodiscard]] std::uint32_t cached_tokens(const model_request& request) const;
    void cache(const model_request& request, std::uint32_t tokens);

    engine_model_options options_;
    std::list<work> waiting_;
    std::vector<work> running_;
    lru_list lru_;
    std::unordered_map<std::uint64_t, lru_list::iterator> sessions_;
    std::unordered_map<std::size_t, std::uint32_t> shared_;
    std::uint32_t cached_total_ = 0;
};

} // namespace jujubetide::model
