#pragma once

#include "node/call_forwarder.h"
#include "node/peer_exchange.h"
#include "node/peer_messages.h"
#include "node/row_mirror.h"
#include "node/table_observers.h"

#include "jujubetide/http1/http1_server.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jujubetide {

/// Serves to peers, and fetches from them, the usage counts of all nodes, needed by a node that has
/// just started, the shared tables, needed by nodes that do not follow the store or cannot reach
/// it, and the newest configuration that any of them has in force. Passes attempts of peers on to
/// the backend servers.
class peer_service final : public http1_handler {
public:
    /// A table that peers may fetch from this node and this node from them.
    struct shared_table {
        std::string name;
        table_follower& follower;
        row_mirror& mirror;
    };

    /// The arguments must outlive the service. Errors as for `http1_server::make`.
    static absl::StatusOr<std::unique_ptr<peer_service>> make(serving_state& state,
                                                              peer_exchange& peers,
                                                              std::vector<shared_table> tables,
                                                              config_observer& configs);

    void start();
    /// Starts the next fetches that are due, if none is running; to be called when a peer has newer
    /// rows.
    void fetch_missing();
    /// Sets the limits of callers' requests, which peers may pass on, and the most connections.
    void set_limits(const caller_limits& callers, std::size_t max_connections);
    /// Attempts of peers that are being passed on.
    [[nodiscard]] std::size_t forwarded_calls() const { return forwarder_.running(); }
    /// Whether the counts from before the start were fetched, or there was no peer to fetch them
    /// from.
    [[nodiscard]] bool has_usage_history() const { return has_usage_history_; }

protected:
    std::shared_ptr<exchange_events> do_request(request_head head, std::string body,
                                                time_point began,
                                                std::shared_ptr<http1_exchange> exchange) override;
    [[nodiscard]] std::string do_error_body(int status) const override;
    void do_eviction(eviction_cause cause) override;

private:
    peer_service(serving_state& state, peer_exchange& peers, std::vector<shared_table> tables,
                 config_observer& configs);
    void fetch_usage();
    /// Fetches the configuration of a peer that has a newer one, if any: a restored store may show
    /// an older one to a node that starts.
    void fetch_config();
    /// Whether the table's changes are to be fetched from a peer now.
    bool should_fetch_from_peer(std::size_t index, bool has_newer);
    bool fetch_table(std::size_t index);
    void apply_rows(std::size_t index, const std::string& body);
    /// The rows for a request with this target; nothing if it names no shared table.
    [[nodiscard]] std::optional<table_rows> find_rows(std::string_view target) const;
    /// `call`, a member, is set until the fetch is over.
    void fetch(std::unique_ptr<buffered_call>& call, const endpoint& from, const std::string& path,
               std::function<void(const std::string&)> on_body);

    serving_state& state_;
    peer_exchange& peers_;
    std::vector<shared_table> tables_;
    config_observer& configs_;
    call_forwarder forwarder_;
    /// Since when a peer has had a newer change, for each table.
    std::vector<std::optional<time_point>> lagging_since_;
    std::optional<time_point> config_lagging_since_;
    std::unique_ptr<http1_server> server_;
    /// Of a table or of the configuration.
    std::unique_ptr<buffered_call> running_fetch_;
    std::unique_ptr<buffered_call> usage_fetch_;
    time_point started_{};
    bool has_usage_history_ = false;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
