#include "entry/entry_metrics.h"

#include <prometheus/text_serializer.h>

namespace jujubetide {
namespace {

// Bounds of the histograms, in seconds.
const prometheus::Histogram::BucketBoundaries latency_bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5,
                                                             1.0,  2.0,   5.0,  10., 30., 60.};

double in_seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const std::string& name, const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Family<prometheus::Histogram>&
histograms(prometheus::Registry& registry, const std::string& name, const std::string& help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

entry_metrics::entry_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counters(*registry_, "jujubetide_requests_total", "Requests by outcome")),
      attempts_(counters(*registry_, "jujubetide_attempts_total", "Attempts by version")),
      retries_(counters(*registry_, "jujubetide_retries_total", "Attempts after the first")),
      first_piece_(histograms(*registry_, "jujubetide_first_piece_seconds",
                              "Time to the first piece of an answer")),
      total_(histograms(*registry_, "jujubetide_answer_seconds", "Time to the whole answer")),
      running_(gauge(*registry_, "jujubetide_running_requests", "Requests that run now")),
      node_(*registry_) {}

std::string entry_metrics::text(const blackboard& boards, const peer_link& peers) {
    node_.update(boards, peers.traffic());
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

void entry_metrics::count_request(const service_id& service, const std::string& outcome) {
    requests_.Add({{"service", service.str()}, {"outcome", outcome}}).Increment();
}

void entry_metrics::count_attempt(const service_id& service, const version_id& version,
                                  bool is_retry) {
    attempts_.Add({{"service", service.str()}, {"version", version.str()}}).Increment();
    if (is_retry) {
        retries_.Add({{"service", service.str()}}).Increment();
    }
}

void entry_metrics::observe_first_piece(const service_id& service, micros latency) {
    first_piece_.Add({{"service", service.str()}}, latency_bounds).Observe(in_seconds(latency));
}

void entry_metrics::observe_total(const service_id& service, micros latency) {
    total_.Add({{"service", service.str()}}, latency_bounds).Observe(in_seconds(latency));
}

void entry_metrics::set_running(std::size_t count) {
    running_.Set(static_cast<double>(count));
}

} // namespace jujubetide
