#pragma once

#include "standins/standin_answer.h"
#include "standins/standin_engine_faults.h"
#include "standins/standin_engine_scheduler.h"
#include "standins/standin_http.h"
#include "standins/standin_prefix_cache.h"

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http/http_server.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujubetide {

/// Speeds and delays of an engine stand-in, which may change while it runs.
struct standin_engine_knobs {
    millis first_piece{2};
    millis between_pieces{1};
    /// Time to process one token of the prompt that is not in the prefix cache.
    micros prefill_per_token{0};
    /// How old the state is that load reports show.
    millis load_report_lag{0};
    /// How long an order takes before it is checked and applied.
    millis order_delay{0};
    /// More waiting attempts are refused with `not_run`.
    std::uint32_t max_waiting = 10'000;
    /// Pieces of every answer, where the request allows as many; 0 takes the request's number.
    std::uint32_t answer_pieces = 0;
    bool leaving = false;
};

struct standin_engine_options {
    /// Port 0 takes a free port.
    endpoint listen{"127.0.0.1", 0};
    std::string name = "engine";
    /// Requests for another version are refused with `not_run`; empty runs every version.
    version_id version;
    /// Whether orders with an old fencing number are refused.
    bool checks_fencing = true;
    std::uint32_t max_running = 32;
    std::size_t cache_blocks = 4'096;
    /// Threads that answer; each running or waiting attempt holds one.
    std::size_t threads = 128;
    /// Writes a line to the error output for each attempt, which outlives a kill.
    bool log_executions = false;
    standin_engine_knobs knobs;
};

/// A model engine over HTTP: answers with the pieces of `standin_answer_piece`. Each fault can be
/// switched by a method or by `POST /faults` with the fault's name and a number of calls or
/// `{"calls": n, "at_piece": n, "ms": n}`; the same call sets the knobs by `first_piece_ms`,
/// `between_pieces_ms`, `prefill_us_per_token`, `load_report_lag_ms`, `order_delay_ms`,
/// `max_running`, `max_waiting`, `answer_pieces` and `leaving`. Thread-safe.
class standin_engine {
public:
    static absl::StatusOr<std::unique_ptr<standin_engine>>
    make(const standin_engine_options& options);
    ~standin_engine();
    standin_engine(const standin_engine&) = delete;
    standin_engine& operator=(const standin_engine&) = delete;

    [[nodiscard]] const endpoint& address() const { return server_->address(); }

    void set_fault(engine_fault fault, const engine_fault_plan& plan = {}) {
        faults_.set(fault, plan);
    }
    void clear_faults() { faults_.clear(); }
    void set_knobs(const standin_engine_knobs& knobs);
    [[nodiscard]] standin_engine_knobs knobs() const;
    void set_max_running(std::uint32_t max_running) { scheduler_.set_max_running(max_running); }
    void set_leaving(bool leaving);

    [[nodiscard]] standin_engine_counters counters() const { return scheduler_.counters(); }
    [[nodiscard]] std::uint32_t running() const { return scheduler_.running(); }
    [[nodiscard]] std::uint32_t waiting() const { return scheduler_.waiting(); }
    /// The orders that had effect, and those refused, each in their order.
    [[nodiscard]] std::vector<engine_order> accepted_orders() const;
    [[nodiscard]] std::vector<engine_order> refused_orders() const;
    [[nodiscard]] version_id version() const;

private:
    explicit standin_engine(const standin_engine_options& options);
    void add_routes(httplib::Server& routes);
    void add_cache_routes(httplib::Server& routes);
    void generate(const nlohmann::json& body, httplib::Response& response);
    void answer_load(httplib::Response& response);
    void answer_cache_events(sequence_number after, httplib::Response& response);
    void answer_state(httplib::Response& response) const;
    void order(const nlohmann::json& body, httplib::Response& response);
    bool apply_order(const engine_order& order);
    void set_faults(const nlohmann::json& body);
    /// Prompt tokens found in the prefix cache; the prompt is in the cache afterwards.
    token_count use_cache(const std::string& prompt);

    boot_clock clock_;
    standin_engine_options options_;
    standin_engine_scheduler scheduler_;
    standin_engine_faults faults_;
    mutable std::mutex mutex_;
    standin_engine_knobs knobs_;
    version_id version_;
    engine_role role_ = engine_role::mixed;
    std::map<std::string, fencing_number> highest_fencing_;
    std::vector<engine_order> accepted_;
    std::vector<engine_order> refused_;
    standin_prefix_cache cache_;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubetide
