#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/store/store_era.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>

namespace jujubetide {

/// Counters and histograms of one node.
class serving_metrics {
public:
    serving_metrics();

    /// A call got its final response, or its caller disconnected.
    void on_call(const service_id& service, std::string_view outcome, std::string_view cause,
                 micros duration);
    /// An attempt ended without a response that can be forwarded.
    void on_attempt(const service_id& service, std::string_view outcome);
    /// Another attempt was sent after one that may count against the retry budget.
    void on_retry(const service_id& service);
    /// What became of a second attempt beside a slow one, or why there was none.
    void on_hedge(const service_id& service, std::string_view result);
    /// A stream was resumed at another server.
    void on_resume(const service_id& service);
    /// An attempt was sent whose server fetches cached tokens from another one.
    void on_fetch(const service_id& service, std::uint64_t tokens);
    /// An attempt was sent through a peer.
    void on_sent_through_peer();
    /// An attempt of a peer was passed on to a server.
    void on_forward();
    /// An answer to another attempt came in place of a call's own.
    void on_skipped_answer();
    /// A connection of `port` was ended before its request was complete.
    void on_eviction(std::string_view port, std::string_view cause);
    /// A store call succeeded or failed.
    void on_store_call(std::string_view kind, const std::string& table, std::string_view outcome);
    void on_first_event(const service_id& service, micros latency);

    /// Values that are read only when the metrics are requested.
    struct snapshot {
        std::uint64_t config_version = 0;
        std::size_t running_calls = 0;
        std::size_t caller_connections = 0;
        std::size_t servers = 0;
        std::size_t live_peers = 0;
        bool holds_duties = false;
        bool config_away = false;
        bool registry_away = false;
        bool follows_tables = false;
        std::uint64_t server_connections_made = 0;
        /// Prompt parts that block the calls that have them.
        std::size_t quarantined_parts = 0;
        /// Servers that name a limit on their calls.
        std::size_t limited_servers = 0;
        /// Servers that say that they fall over when they reject too many calls.
        std::size_t brittle_servers = 0;
        /// Servers whose calls are bounded because they say that they are cold.
        std::size_t cold_servers = 0;
        /// Failure domains whose servers get no calls.
        std::size_t evacuated_domains = 0;
        /// The node does not reach the servers over connections of its own.
        bool server_links_lost = false;
        /// Servers that say in answers that they leave.
        std::size_t leaving_servers = 0;
        std::size_t buffered_bytes = 0;
        std::size_t buffer_limit = 0;
        std::uint64_t buffer_refusals = 0;
        /// Smoothed wait of each service's calls, as a part of their target.
        std::map<service_id, double> pressure;
        /// Customers that ask for more than their share while calls wait.
        std::size_t customers_beyond_share = 0;
        /// The newest era that the store has named.
        jujubetide::store_era era;
    };
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text(const snapshot& now);

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Counter>& failed_attempts_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& hedges_;
    prometheus::Family<prometheus::Counter>& resumed_streams_;
    prometheus::Family<prometheus::Counter>& fetches_;
    prometheus::Family<prometheus::Counter>& fetched_tokens_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& peer_attempts_;
    prometheus::Family<prometheus::Counter>& skipped_answers_;
    prometheus::Family<prometheus::Counter>& evictions_;
    prometheus::Family<prometheus::Histogram>& call_durations_;
    prometheus::Family<prometheus::Histogram>& first_event_latencies_;
    prometheus::Family<prometheus::Gauge>& state_;
    prometheus::Family<prometheus::Gauge>& pressure_;
};

} // namespace jujubetide
