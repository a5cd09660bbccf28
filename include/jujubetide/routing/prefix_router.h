#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/routing/prefix_index.h"
#include "jujubetide/routing/router.h"
#include "jujubetide/routing/server_estimate.h"

#include <atomic>
#include <cstddef>
#include <vector>

namespace jujubetide {

struct prefix_router_options {
    /// Up to this many candidates are all estimated; of more, a sample.
    std::size_t full_scan_limit = 32;
    /// Servers sampled for the prompt's home, in rendezvous order.
    std::size_t home_sample = 4;
    /// Servers sampled evenly.
    std::size_t even_sample = 4;
    /// Weight of a recomputed token's time in the score, besides its effect on this request.
    double recompute_weight = 3.0;
    /// Knowledge of a cached prefix loses half of its weight in this time.
    micros cache_half_life{std::chrono::minutes(10)};
    /// Part of a prompt, beyond what is known to be cached, that its home is believed to hold.
    double home_cached_part = 0.3;
    /// Among servers whose scores are this close to the best, the cheapest host is taken.
    micros near_tie{2'000};
    /// A server whose places are all taken counts as this much later than an empty one.
    micros full_server_delay{20'000};
};

/// Chooses the server with the lowest estimated time to the first piece, counting what is likely in
/// its prefix cache. Where no server is known to hold the prompt's prefix, all nodes agree on its
/// home by rendezvous hash, as long as the home is not loaded much above the others.
class prefix_router final : public router {
public:
    /// `board` and `time` must outlive the router.
    prefix_router(backend_board& board, const clock& time, prefix_router_options options = {});

    /// A server said that it stored or dropped a prefix.
    void on_cache_event(const backend_server_id& server, const cache_event& event);
    /// Nodes that send requests to the same servers, this one among them.
    void set_active_entries(std::size_t count) { active_entries_ = count; }
    /// The prefixes known; for metrics.
    [[nodiscard]] std::size_t known_prefixes() const { return index_.size(); }

protected:
    absl::StatusOr<route_choice>
    do_choose(const route_query& query,
              std::span<const backend_server_settings* const> candidates) override;
    void do_on_sent(const route_query& query, const route_choice& choice) override;
    void do_on_first_piece(const route_query& query, const route_choice& choice) override;
    void do_on_finished(const route_query& query, const route_choice& choice, token_count cached,
                        bool completed) override;

private:
    struct scored {
        const backend_server_settings* server = nullptr;
        double score = 0.0;
        server_estimate estimate;
        double cached_tokens = 0.0;
    };
    /// An attempt of this node that was sent lately or has not ended.
    struct own_attempt {
        request_id request;
        time_point sent{};
        double uncached_tokens = 0.0;
        bool started = false;
        bool ended = false;
    };
    using attempt_list = std::vector<own_attempt>;
    /// Sums over the own attempts on a server.
    struct own_work {
        double sent_since_report = 0.0;
        double unstarted_tokens = 0.0;
    };
    struct slowdown {
        double factor = 1.0;
    };
    using server_list = std::vector<const backend_server_settings*>;

    [[nodiscard]] server_list sample(const route_query& query,
                                     std::span<const backend_server_settings* const> candidates,
                                     const std::vector<prefix_holder>& holders,
                                     std::uint64_t home_key) const;
    [[nodiscard]] scored score(const route_query& query, const backend_server_settings& server,
                               const std::vector<prefix_holder>& holders, bool is_home) const;
    [[nodiscard]] double likely_cached_tokens(const route_query& query,
                                              const prefix_holder& holder) const;
    [[nodiscard]] own_work own_work_on(const backend_server_id& server,
                                       const backend_state& state) const;
    void mark_attempt(const backend_server_id& server, const request_id& request,
                      bool own_attempt::*mark);

    backend_board& board_;
    const clock& time_;
    prefix_router_options options_;
    prefix_index index_;
    std::atomic<std::size_t> active_entries_{1};
    sharded_map<backend_server_id, attempt_list> attempts_;
    sharded_map<service_id, micros> mean_holding_;
    /// Time to the first piece as seen, relative to the estimate; at least 1.
    sharded_map<backend_server_id, slowdown> slowdowns_;
};

} // namespace jujubetide
