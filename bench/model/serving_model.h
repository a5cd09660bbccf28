#pragma once

#include "engine_model.h"
#include "workload.h"

#include "jujubetide/base/clock.h"
#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/limits/admission.h"
#include "jujubetide/limits/share_admission.h"
#include "jujubetide/routing/router.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

namespace jujubetide::model {

/// Time of a run, moved by its events.
class run_clock final : public clock {
public:
    void set(time_point now) { now_ = now; }

protected:
    time_point do_now() const override { return now_; }
    wall_time do_wall_now() const override { return wall_time(to_millis(now_.time_since_epoch())); }

private:
    time_point now_{};
};

/// The policy under test; each entry of the model has its own.
struct policy {
    std::unique_ptr<router> routes;
    std::unique_ptr<admission> admits;
    /// The same object as `admits` where it shares demand with other entries, else null.
    share_admission* shares = nullptr;
};
using policy_factory =
    std::function<policy(backend_board& board, const clock& time, std::uint64_t seed)>;

struct run_options {
    /// Measurements begin after this time.
    micros warm_up{std::chrono::seconds(60)};
    /// Load reports reach the entries each period, this old.
    micros report_period{1'000'000};
    micros report_delay{500'000};
    /// All hosts of the first failure domain are reclaimed then; negative for never.
    micros reclaim_at{-1};
    micros reclaim_notice{2'000'000};
    micros replacement_after{std::chrono::seconds(60)};
};

/// How the requests of one customer, or of all, went.
struct outcome_counts {
    std::uint64_t asked = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t on_time_tokens = 0;
    /// Times to the first piece of the admitted requests, in seconds.
    std::vector<double> first_piece_seconds;

    [[nodiscard]] double quantile(double part) const;
    [[nodiscard]] double share_on_time() const;
};

struct run_result {
    outcome_counts all;
    std::vector<outcome_counts> by_customer;
    std::vector<outcome_counts> by_service;
    /// Prompt tokens processed that an earlier step of the same session had processed already.
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t processed_prompt_tokens = 0;
    double seconds = 0.0;

    [[nodiscard]] double goodput() const {
        return static_cast<double>(all.on_time_tokens) / seconds;
    }
};

/// Runs a workload through the real routing and admission classes against model engines.
class serving_model {
public:
    serving_model(const deployment& system, const workload_options& load, run_options options,
                  const policy_factory& make_policy);
    ~serving_model();
    serving_model(const serving_model&) = delete;
    serving_model& operator=(const serving_model&) = delete;

    run_result run();

private:
    struct engine;
    struct entry;
    struct tracked;
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct later {
        bool operator()(const event& a, const event& b) const {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    void at(time_point when, std::function<void()> action);
    void add_engine(std::size_t service, std::size_t number, std::size_t generation);
    void arrive(const model_request& request);
    bool send(entry& from, tracked& item, std::uint32_t generated);
    void step(engine& server);
    void finish(const model_request& request, engine& server);
    void report_loads();
    void share_demand();
    void announce_reclaim();
    void reclaim();
    /// Calls `change(outcome_counts&)` on every count that the request belongs to.
    template <class Change>
    void count(const model_request& request, Change&& change);
    void count_first_piece(const model_request& request);

    deployment system_;
    workload_options load_;
    run_options options_;
    run_clock clock_;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::uint64_t next_order_ = 0;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::vector<const backend_server_settings*>> candidates_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<std::unique_ptr<tracked>> requests_;
    run_result result_;
};

} // namespace jujubetide::model
