#pragma once

#include "node/forward_message.h"
#include "node/serving_state.h"

#include "jujubetide/http1/http1_server.h"

#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>

namespace jujubetide {

/// Passes the attempts of peers that are cut off from the backend servers on to these, unchanged
/// and once each, and the responses back.
class call_forwarder {
public:
    /// `state` must outlive the forwarder and the calls.
    explicit call_forwarder(serving_state& state) : state_(state) {}
    /// Breaks off the attempts that still run.
    ~call_forwarder();
    call_forwarder(const call_forwarder&) = delete;
    call_forwarder& operator=(const call_forwarder&) = delete;

    /// Handles a request to `forward_path`; as `http1_handler::on_request`.
    std::shared_ptr<exchange_events> forward(const request_head& head, std::string body,
                                             std::shared_ptr<http1_exchange> exchange);
    /// Attempts without a complete response yet.
    [[nodiscard]] std::size_t running() const { return running_.size(); }

private:
    class forwarded_call;

    serving_state& state_;
    /// Attempts without a complete response yet; the set owns them.
    absl::flat_hash_set<std::shared_ptr<forwarded_call>> running_;
};

} // namespace jujubetide
