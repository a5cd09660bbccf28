#pragma once

#include "engine_model.h"

#include "jujubetide/base/random_source.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide::model {

/// A kind of request of a service.
struct request_class {
    std::uint32_t shared_tokens = 0;
    std::uint32_t min_prompt = 100;
    std::uint32_t max_prompt = 400;
    std::uint32_t mean_output = 60;
    /// Mean calls of one session; 1 for calls without history.
    double mean_turns = 1.0;
    micros mean_pause{20'000'000};
    /// New prompt tokens of each further turn, besides the last answer.
    std::uint32_t turn_tokens = 150;
    /// Time allowed for the first piece.
    micros first_piece_target{350'000};
    int priority = 0;
    /// Part of the service's sessions.
    double part = 1.0;
};

struct service_model {
    std::string name;
    std::size_t engines = 4;
    std::vector<request_class> classes;
    engine_model_options engine;
};

/// One of the brief's deployments.
struct deployment {
    std::string name;
    std::vector<service_model> services;
    std::vector<double> customer_shares;
    std::size_t entries = 6;
    std::size_t failure_domains = 4;
};

deployment frio_solidario();
deployment dunajsky_pristav();

struct workload_options {
    /// Part of the nominal capacity of each service.
    double load = 0.8;
    micros duration{std::chrono::seconds(300)};
    std::uint64_t seed = 1;
    /// A customer whose arrivals are multiplied by `burst_factor` in the middle third; negative for
    /// none.
    int burst_customer = -1;
    double burst_factor = 10.0;
};

/// All requests of a run, in the order of their arrival.
std::vector<model_request> make_workload(const deployment& system, const workload_options& options);

/// Requests that one engine of the service does in a second when every session's history is cached.
double nominal_capacity(const service_model& service);

} // namespace jujubetide::model
