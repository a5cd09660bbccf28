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

/// What a node is built on; all of it must outlive the node.
struct node_dependencies {
    event_loop& loop;
    const clock& time;
    log_sink& log;
    random_source& random;
    const call_codec& codec;
    const row_decoder& decoder;
    shared_tables tables;
    row_store& store;
    platform_api& calls;
};

/// One host's process: takes callers' requests, routes them to backend servers, and takes its turn
/// in the duties that one node does for all. Runs on its event loop.
class node {
public:
    /// Begins to listen for callers and peers. Unavailable where an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<node>> make(const node_settings& settings,
                                                      const node_dependencies& parts);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start();
    /// Answers what the node holds and takes, leaves the directory, and stops the loop when all is
    /// answered or the grace time is nearly over.
    void begin_stop();
    /// The settings may have changed. What the node learnt at its start stays until its next one.
    void reload();

    /// Whether callers should come here.
    [[nodiscard]] bool is_ready() const;
    /// Where callers of a failure domain may connect now; at most `max` addresses.
    [[nodiscard]] std::vector<endpoint> caller_addresses(const failure_domain_id& asker,
                                                         std::size_t max) const;
    /// How long callers may keep such a list.
    [[nodiscard]] millis directory_lifetime() const;
    /// Counters and histograms as text, in the usual format of Prometheus.
    [[nodiscard]] std::string metrics_text() const;
    /// The address that callers are received at.
    [[nodiscard]] const endpoint& caller_endpoint() const;

private:
    struct parts_of_node;
    explicit node(std::unique_ptr<parts_of_node> parts);

    std::unique_ptr<parts_of_node> parts_;
};

} // namespace jujubetide
