#pragma once

#include "jujubetide/peer/peer_link.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace jujubetide {

struct peer_link_options {
    /// Threads that run handlers.
    std::size_t workers = 8;
    /// Messages that wait for a worker; more are refused with Unavailable.
    std::size_t worker_queue = 4096;
    /// Messages queued to or in flight at one peer, and their bytes; more are refused.
    std::size_t peer_queue = 1024;
    std::size_t peer_queue_bytes = 32U << 20U;
    /// Largest body taken from a peer.
    std::size_t max_body_bytes = 16U << 20U;
    std::size_t max_inbound_connections = 2048;
    millis connect_timeout{2'000};
    /// A connection with open streams and no bytes received for this long is closed.
    millis silence_timeout{15'000};
    /// An inbound connection without any bytes for this long is closed.
    millis idle_timeout{60'000};
    /// Wait after a failed connection, doubled with each failure up to the larger one.
    millis backoff_min{100};
    millis backoff_max{2'000};
};

/// Messages as HTTP/2 streams without TLS (prior knowledge) over one kept TCP connection to each
/// peer. One thread polls all sockets; a small pool runs the handlers. Who sends is stated by the
/// sender and not proven: the network between the nodes is trusted.
class nghttp2_peer_link final : public peer_link {
public:
    /// Listens at `listen` (port 0: any free one) and starts the threads. Errors of the socket
    /// calls as Unavailable.
    static absl::StatusOr<std::unique_ptr<nghttp2_peer_link>>
    make(const endpoint& listen, const node_id& self, const peer_link_options& options = {});
    ~nghttp2_peer_link() override;
    nghttp2_peer_link(const nghttp2_peer_link&) = delete;
    nghttp2_peer_link& operator=(const nghttp2_peer_link&) = delete;

    /// Where peers connect.
    [[nodiscard]] endpoint listening() const;
    /// Ends all connections and handlers; calls that wait fail. Called by the destructor.
    void stop();

protected:
    absl::Status do_send(const endpoint& peer, peer_message_kind kind, std::string body) override;
    absl::StatusOr<std::string> do_call(const endpoint& peer, peer_message_kind kind,
                                        std::string body, millis timeout) override;
    void do_set_handler(peer_message_kind kind, handler function) override;
    [[nodiscard]] std::vector<peer_traffic> do_traffic() const override;

private:
    class loop;
    explicit nghttp2_peer_link(std::unique_ptr<loop> made);

    std::unique_ptr<loop> loop_;
};

} // namespace jujubetide
