#pragma once

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

    /// The registry; other parts of the process add theirs.
    prometheus::Registry& registry() { return *registry_; }
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

    /// A request got its outcome: `whole`, `not_run`, `unknown`, `moved` or `caller_gone`.
    void count_request(const service_id& service, const std::string& outcome);
    void count_attempt(const service_id& service, const version_id& version, bool is_retry);
    void observe_first_piece(const service_id& service, micros latency);
    void observe_total(const service_id& service, micros latency);
    void set_settings_revision(revision at);
    void set_members(std::size_t count);
    void set_running(std::size_t count);

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Histogram>& first_piece_;
    prometheus::Family<prometheus::Histogram>& total_;
    prometheus::Gauge& settings_revision_;
    prometheus::Gauge& members_;
    prometheus::Gauge& running_;
};

} // namespace jujubetide
