#pragma once

#include "peer/node_metrics.h"

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/peer/peer_link.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jujubetide {

/// The metrics of a control process. Thread-safe.
class control_metrics {
public:
    control_metrics();

    void count_answer(const std::string& method, int status);
    void observe_answer(const std::string& method, micros latency);
    /// All metrics in the Prometheus text format, with those of the node read now; `peers` may be
    /// null.
    [[nodiscard]] std::string text(const blackboard& boards, const peer_link* peers);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& latencies_;
    prometheus::Gauge& behind_;
    node_metrics node_;
};

} // namespace jujubetide
