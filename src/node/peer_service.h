#pragma once

#include "node/peer_exchange.h"
#include "node/peer_messages.h"
#include "node/row_mirror.h"

#include "jujubetide/http1/http1_server.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jujubetide {

/// What peers fetch from each other: the usage counts of all nodes, for one that has just started,
/// and the shared tables, for those that do not follow the store or are turned away by it.
class peer_service final : public http1_handler {
public:
    /// A table that peers may fetch, and that this node may fetch from them.
    struct shared_table {
        std::string name;
        table_follower& follower;
        row_mirror& mirror;
    };

    /// What is passed in must outlive the service. Errors as for `http1_server::make`.
    static absl::StatusOr<std::unique_ptr<peer_service>>
    make(serving_state& state, peer_exchange& peers, std::vector<shared_table> tables);

    void start();
    /// Looks whether there is something to fetch; to be called when peers told something.
    void fetch_missing();
    /// Whether the counts from before the start were fetched, or there was nobody to ask.
    [[nodiscard]] bool has_usage_history() const { return knows_usage_; }

protected:
    std::shared_ptr<exchange_events> do_request(request_head head, std::string body,
                                                time_point began,
                                                std::shared_ptr<http1_exchange> exchange) override;
    [[nodiscard]] std::string do_error_body(int status) const override;

private:
    peer_service(serving_state& state, peer_exchange& peers, std::vector<shared_table> tables);
    void fetch_usage();
    /// Whether the table's changes are to come from peers now.
    bool needs_peer(std::size_t index, bool is_newer);
    bool fetch_table(std::size_t index);
    void adopt(std::size_t index, const std::string& body);
    /// The rows that a request for a table asks for.
    [[nodiscard]] std::optional<table_rows> rows_for(std::string_view target) const;
    void fetch(const endpoint& from, const std::string& path,
               std::function<void(const std::string&)> take);

    serving_state& state_;
    peer_exchange& peers_;
    std::vector<shared_table> tables_;
    /// Since when a peer has known a newer change of each table.
    std::vector<std::optional<time_point>> behind_since_;
    std::unique_ptr<http1_server> server_;
    std::unique_ptr<collected_call> running_;
    time_point started_{};
    bool knows_usage_ = false;
    std::unique_ptr<timer_subscription> timer_;
};

} // namespace jujubetide
