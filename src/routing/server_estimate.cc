// A load report is old when it is read: what waited then has been worked off since, at the server's
// prefill rate. Own work sent since the report is added; work of other nodes sent since is unknown
// and comes with the next report.
#include "jujubetide/routing/server_estimate.h"

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

micros seconds_to_micros(double seconds) {
    return micros(static_cast<std::int64_t>(seconds * 1e6));
}

double aged_waiting_tokens(double rate, const backend_state& state, time_point now) {
    if (!state.has_load) {
        return 0.0;
    }
    const auto reported = static_cast<double>(state.load.waiting_prompt_tokens.value());
    const std::chrono::duration<double> age = now - state.load_received_at + load_report_delay;
    return std::max(0.0, reported - age.count() * rate);
}

/// Requests present: those reported, of which some have ended since, and those sent since.
double requests_present(const backend_state& state, const estimate_inputs& inputs) {
    if (!state.has_load) {
        return inputs.sent_since_report;
    }
    const double reported = double{0} + state.load.running + state.load.waiting;
    const std::chrono::duration<double> age =
        inputs.now - state.load_received_at + load_report_delay;
    const std::chrono::duration<double> holding = inputs.mean_holding_time;
    const double kept = holding.count() > 0.0 ? std::exp(-age.count() / holding.count()) : 1.0;
    return reported * kept + inputs.sent_since_report;
}

/// Wait for a place when all are taken: places free up one by one over the mean holding time.
micros wait_for_place(double present, double places, micros mean_holding_time) {
    const double excess = present + 1.0 - places;
    if (excess <= 0.0) {
        return micros{0};
    }
    const double holding = std::chrono::duration<double>(mean_holding_time).count();
    return seconds_to_micros(excess * holding / places);
}

} // namespace

server_estimate estimate_server(const backend_server_settings& server, const backend_state& state,
                                const estimate_inputs& inputs) {
    const double rate = server.prefill_tokens_per_second / inputs.slowdown;
    const double ahead = aged_waiting_tokens(rate, state, inputs.now) + inputs.unstarted_tokens;
    const double present = requests_present(state, inputs);
    const auto places = static_cast<double>(server.max_running);
    server_estimate estimate;
    estimate.queue =
        seconds_to_micros(ahead / rate) + wait_for_place(present, places, inputs.mean_holding_time);
    estimate.prefill = seconds_to_micros(inputs.uncached_tokens / rate);
    estimate.occupancy = present / places;
    return estimate;
}

} // namespace jujubetide
