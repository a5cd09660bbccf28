#pragma once

#include "jujubetide/blackboard/blackboard.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jujubetide {

/// The metrics of a control process. Thread-safe.
class control_metrics {
public:
    control_metrics();

    /// The registry; other parts of the process add theirs.
    prometheus::Registry& registry() { return *registry_; }
    void count_answer(const std::string& method, int status);
    /// All metrics in the Prometheus text format, with the gauges read from the boards.
    [[nodiscard]] std::string text(const blackboard& boards);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Gauge& revision_;
    prometheus::Gauge& behind_;
    prometheus::Gauge& members_;
};

} // namespace jujubetide
