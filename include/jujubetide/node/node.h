#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/log.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/node/call_codec.h"
#include "jujubetide/node/node_settings.h"
#include "jujubetide/node/platform_api.h"
#include "jujubetide/node/row_decoder.h"
#include "jujubetide/store/row_store.h"

#include <absl/status/statusor.h>

#include <memory>
#include <vector>

namespace jujubetide {

/// Dependencies of a node; all must outlive it.
struct node_dependencies {
    event_loop& loop;
    const clock& time;
    log_sink& log;
    random_source& random;
    const call_codec& codec;
    const row_decoder& decoder;
    platform_table_names tables;
    row_store& store;
    platform_api& calls;
};

/// The serving process of one host: routes callers' requests to backend servers and, while it holds
/// the lease, performs the duties that one node does for all. Runs on its event loop.
class node {
public:
    /// Starts to listen for callers and peers. Unavailable if an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<node>> make(const node_settings& settings,
                                                      const node_dependencies& dependencies);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start();
    /// Leaves the directory, completes running and newly accepted calls, and stops the loop when
    /// all have ended or the grace period is nearly over.
    void begin_stop();
    /// Called when the settings may have changed. Settings read at the start are kept until a
    /// restart.
    void reload();

    /// Whether the node accepts calls.
    [[nodiscard]] bool is_ready() const;
    /// At most `max_addresses` nodes for callers in `caller_domain`.
    [[nodiscard]] std::vector<endpoint> caller_addresses(const failure_domain_id& caller_domain,
                                                         std::size_t max_addresses) const;
    /// How long callers may cache the result of `caller_addresses`.
    [[nodiscard]] millis directory_lifetime() const;
    /// Metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics_text() const;
    /// The address on which the node listens for callers.
    [[nodiscard]] const endpoint& caller_endpoint() const;

private:
    struct components;
    explicit node(std::unique_ptr<components> parts);

    std::unique_ptr<components> components_;
};

} // namespace jujubetide
