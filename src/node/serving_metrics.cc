#include "node/serving_metrics.h"

#include "jujubetide/edge/build_info.h"

#include <prometheus/text_serializer.h>

namespace jujubetide {
namespace {

/// Bucket bounds of the latency histograms in seconds, from a plain call to the longest stream.
const prometheus::Histogram::BucketBoundaries latency_bounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.35,
                                                                0.5,  0.8,   1.2,  2.0, 4.0, 15.0};

double seconds(micros duration) {
    return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry, const char* name,
                                                 const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogram(prometheus::Registry& registry,
                                                     const char* name, const char* help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

serving_metrics::serving_metrics()
    : calls_(counter(registry_, "jujubetide_calls_total",
                     "Calls by service, outcome and cause of a refusal or failure.")),
      failed_attempts_(counter(registry_, "jujubetide_failed_attempts_total",
                               "Attempts without an answer to pass on, by service and outcome.")),
      retries_(counter(registry_, "jujubetide_retries_total",
                       "Attempts that counted against the retry budget, by service.")),
      hedges_(counter(registry_, "jujubetide_hedges_total",
                      "Second attempts beside slow ones, by service and result: sent, won, "
                      "failed, or why none was sent.")),
      resumed_streams_(counter(registry_, "jujubetide_resumed_streams_total",
                               "Streams that went on at another server, by service.")),
      fetches_(counter(registry_, "jujubetide_fetches_total",
                       "Attempts whose server fetches cached tokens from another, by service.")),
      fetched_tokens_(counter(registry_, "jujubetide_fetched_tokens_total",
                              "Cached tokens expected to be fetched, by service.")),
      store_calls_(counter(registry_, "jujubetide_store_calls_total",
                           "Calls to the platform's store by kind, table and outcome.")),
      peer_attempts_(counter(registry_, "jujubetide_peer_attempts_total",
                             "Attempts sent through a peer, and those of peers passed on.")),
      skipped_answers_(counter(registry_, "jujubetide_skipped_answers_total",
                               "Answers to other attempts that came in place of a call's own.")),
      evictions_(counter(registry_, "jujubetide_evicted_connections_total",
                         "Connections ended for want of room for others, by port and cause.")),
      call_durations_(histogram(registry_, "jujubetide_call_seconds",
                                "Time to the end of a call, by service and outcome.")),
      first_event_latencies_(histogram(registry_, "jujubetide_first_event_seconds",
                                       "Time from the sending of an attempt to its first event.")),
      state_(prometheus::BuildGauge()
                 .Name("jujubetide_node")
                 .Help("The node's state, by field.")
                 .Register(registry_)),
      pressure_(prometheus::BuildGauge()
                    .Name("jujubetide_service_pressure")
                    .Help("Smoothed wait of a service's calls as a part of their target.")
                    .Register(registry_)) {
    add_build_info(registry_);
}

void serving_metrics::on_call(const service_id& service, std::string_view outcome,
                              std::string_view cause, micros duration) {
    calls_
        .Add({{"service", service.str()},
              {"outcome", std::string(outcome)},
              {"cause", std::string(cause)}})
        .Increment();
    call_durations_
        .Add({{"service", service.str()}, {"outcome", std::string(outcome)}}, latency_bounds)
        .Observe(seconds(duration));
}

void serving_metrics::on_attempt(const service_id& service, std::string_view outcome) {
    failed_attempts_.Add({{"service", service.str()}, {"outcome", std::string(outcome)}})
        .Increment();
}

void serving_metrics::on_retry(const service_id& service) {
    retries_.Add({{"service", service.str()}}).Increment();
}

void serving_metrics::on_hedge(const service_id& service, std::string_view result) {
    hedges_.Add({{"service", service.str()}, {"result", std::string(result)}}).Increment();
}

void serving_metrics::on_resume(const service_id& service) {
    resumed_streams_.Add({{"service", service.str()}}).Increment();
}

void serving_metrics::on_fetch(const service_id& service, std::uint64_t tokens) {
    fetches_.Add({{"service", service.str()}}).Increment();
    fetched_tokens_.Add({{"service", service.str()}}).Increment(static_cast<double>(tokens));
}

void serving_metrics::on_sent_through_peer() {
    peer_attempts_.Add({{"direction", "sent"}}).Increment();
}

void serving_metrics::on_forward() {
    peer_attempts_.Add({{"direction", "passed_on"}}).Increment();
}

void serving_metrics::on_eviction(std::string_view port, std::string_view cause) {
    evictions_.Add({{"port", std::string(port)}, {"cause", std::string(cause)}}).Increment();
}

void serving_metrics::on_skipped_answer() {
    skipped_answers_.Add({}).Increment();
}

void serving_metrics::on_store_call(std::string_view kind, const std::string& table,
                                    std::string_view outcome) {
    store_calls_
        .Add({{"kind", std::string(kind)}, {"table", table}, {"outcome", std::string(outcome)}})
        .Increment();
}

void serving_metrics::on_first_event(const service_id& service, micros latency) {
    first_event_latencies_.Add({{"service", service.str()}}, latency_bounds)
        .Observe(seconds(latency));
}

std::string serving_metrics::text(const snapshot& now) {
    const auto set = [this](const char* field, double value) {
        state_.Add({{"field", field}}).Set(value);
    };
    set("config_version", static_cast<double>(now.config_version));
    set("running_calls", static_cast<double>(now.running_calls));
    set("caller_connections", static_cast<double>(now.caller_connections));
    set("servers", static_cast<double>(now.servers));
    set("live_peers", static_cast<double>(now.live_peers));
    set("holds_duties", now.holds_duties ? 1.0 : 0.0);
    set("config_away", now.config_away ? 1.0 : 0.0);
    set("registry_away", now.registry_away ? 1.0 : 0.0);
    set("follows_tables", now.follows_tables ? 1.0 : 0.0);
    set("server_connections_made", static_cast<double>(now.server_connections_made));
    set("quarantined_parts", static_cast<double>(now.quarantined_parts));
    set("limited_servers", static_cast<double>(now.limited_servers));
    set("leaving_servers", static_cast<double>(now.leaving_servers));
    set("store_era", static_cast<double>(now.era.value()));
    set("buffered_bytes", static_cast<double>(now.buffered_bytes));
    set("buffer_limit_bytes", static_cast<double>(now.buffer_limit));
    set("buffer_refusals", static_cast<double>(now.buffer_refusals));
    set("brittle_servers", static_cast<double>(now.brittle_servers));
    set("cold_servers", static_cast<double>(now.cold_servers));
    set("evacuated_domains", static_cast<double>(now.evacuated_domains));
    set("server_links_lost", now.server_links_lost ? 1.0 : 0.0);
    set("customers_beyond_share", static_cast<double>(now.customers_beyond_share));
    for (const auto& [service, ratio] : now.pressure) {
        pressure_.Add({{"service", service.str()}}).Set(ratio);
    }
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace jujubetide
