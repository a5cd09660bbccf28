#include "control/control_metrics.h"

#include "control/status_report.h"

#include <prometheus/text_serializer.h>

namespace jujubetide {
namespace {

// Bounds of the histogram, in seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.005, 0.01, 0.025, 0.05, 0.1,
                                                             0.25,  0.5,  1.0,   2.5,  10.0};

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

control_metrics::control_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(prometheus::BuildCounter()
                   .Name("jujubetide_operator_answers_total")
                   .Help("Answers to operators by method and status.")
                   .Register(*registry_)),
      latencies_(prometheus::BuildHistogram()
                     .Name("jujubetide_operator_answer_seconds")
                     .Help("Time from an operator's request to the answer by method.")
                     .Register(*registry_)),
      behind_(add_gauge(*registry_, "jujubetide_nodes_behind",
                        "Nodes at which these settings are not known to be in force.")),
      node_(*registry_) {}

void control_metrics::count_answer(const std::string& method, int status) {
    answers_.Add({{"method", method}, {"status", std::to_string(status)}}).Increment();
}

void control_metrics::observe_answer(const std::string& method, micros latency) {
    latencies_.Add({{"method", method}}, latency_bounds)
        .Observe(std::chrono::duration<double>(latency).count());
}

std::string control_metrics::text(const blackboard& boards, const peer_link* peers) {
    const snapshot_ptr settings = boards.settings.current();
    const revision at = settings ? settings->at() : revision{};
    const revision_report report = report_revision(boards.members, at);
    behind_.Set(static_cast<double>(report.behind.size()));
    node_.update(boards, peers == nullptr ? std::vector<peer_traffic>() : peers->traffic());
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jujubetide
