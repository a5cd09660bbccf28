#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

/// What an estimate is made from, besides the server's settings and state.
struct estimate_inputs {
    /// Prompt tokens of the request that are not cached at the server.
    double uncached_tokens = 0.0;
    /// Mean time that a request holds a place at a server of this service.
    micros mean_holding_time{0};
    /// Requests that are believed to have been sent by all nodes since the load report was made,
    /// and the uncached prompt tokens of those whose first piece has not come.
    double sent_since_report = 0.0;
    double unstarted_tokens = 0.0;
    /// Processing takes this many times what the server's rate says, as it shares its time with
    /// running answers.
    double slowdown = 1.0;
    time_point now{};
};

/// An estimate of when a server would give the first piece.
struct server_estimate {
    /// Wait before the request's own prompt is processed.
    micros queue{0};
    /// Processing of its own uncached prompt.
    micros prefill{0};
    /// Requests present, as a part of the server's places.
    double occupancy = 0.0;

    [[nodiscard]] micros first_piece() const { return queue + prefill; }
};

/// Time from the making of a load report to its receipt.
inline constexpr micros load_report_delay{500'000};

/// Estimates from the last load report, aged, plus own work sent since.
server_estimate estimate_server(const backend_server_settings& server, const backend_state& state,
                                const estimate_inputs& inputs);

} // namespace jujubetide
