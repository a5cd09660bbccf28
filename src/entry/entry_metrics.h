#pragma once

#include "peer/node_metrics.h"

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace jujubetide {

/// The metrics of an entry node. Thread-safe.
class entry_metrics {
public:
    entry_metrics();

    /// All metrics in the Prometheus text format, with those of the node read now.
    [[nodiscard]] std::string text(const blackboard& boards, const peer_link& peers);

    /// A request got its outcome: `whole`, `not_run`, `unknown`, `moved` or `caller_gone`.
    void count_request(const service_id& service, const std::string& outcome);
    void count_attempt(const service_id& service, const version_id& version, bool is_retry);
    void observe_first_piece(const service_id& service, micros latency);
    void observe_total(const service_id& service, micros latency);
    void set_running(std::size_t count);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Histogram>& first_piece_;
    prometheus::Family<prometheus::Histogram>& total_;
    prometheus::Gauge& running_;
    node_metrics node_;
};

} // namespace jujubetide
