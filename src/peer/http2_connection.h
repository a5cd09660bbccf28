#pragma once

#include "peer/pending_call.h"
#include "peer/socket.h"
#include "peer/traffic_counters.h"

#include "jujubetide/peer/peer_link.h"

#include <absl/container/flat_hash_map.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>

namespace jujubetide {

/// A message on its way to a peer.
struct outbound_message {
    peer_message_kind kind = peer_message_kind::heartbeat;
    std::string body;
    /// Null for one-way messages.
    std::shared_ptr<pending_call> call;
};

/// Who takes what a connection brings; called on the loop's thread.
class connection_listener {
public:
    virtual ~connection_listener() = default;
    void on_request(std::uint64_t connection, std::int32_t stream, peer_message message) {
        do_on_request(connection, stream, std::move(message));
    }
    /// One of this connection's outbound messages has ended, one way or another.
    void on_outbound_end(std::uint64_t connection, std::size_t bytes) {
        do_on_outbound_end(connection, bytes);
    }

protected:
    connection_listener() = default;
    connection_listener(const connection_listener&) = default;
    connection_listener& operator=(const connection_listener&) = default;
    virtual void do_on_request(std::uint64_t connection, std::int32_t stream,
                               peer_message message) = 0;
    virtual void do_on_outbound_end(std::uint64_t connection, std::size_t bytes) = 0;
};

/// One TCP connection with its HTTP/2 session, as the connecting or the accepting side. Used on the
/// loop's thread only.
class http2_connection {
public:
    struct limits {
        std::size_t max_body_bytes = 0;
    };

    http2_connection(std::uint64_t id, unique_fd socket, bool outbound, limits within,
                     connection_listener& listener, traffic_counters& counters);
    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    /// Each returns whether the connection goes on.
    bool read();
    bool write();
    /// False when the session takes no more streams; the message has then not been sent.
    bool submit(const node_id& from, outbound_message message);
    void respond(std::int32_t stream, const absl::StatusOr<std::string>& answer);
    void ping();
    /// Resets the streams whose callers no longer wait.
    void drop_abandoned();

    [[nodiscard]] std::uint64_t id() const { return id_; }
    [[nodiscard]] int fd() const { return socket_.get(); }
    [[nodiscard]] const unique_fd& socket() const { return socket_; }
    [[nodiscard]] bool wants_write() const;
    [[nodiscard]] bool has_streams() const { return !streams_.empty(); }

private:
    struct stream {
        peer_message_kind kind = peer_message_kind::heartbeat;
        /// Outbound: the message; inbound: the answer. Sent from `sent` on.
        std::string out;
        std::size_t sent = 0;
        /// Inbound: the message; outbound: the answer.
        std::string in;
        std::size_t message_bytes = 0;
        node_id from;
        int status = 0;
        std::shared_ptr<pending_call> call;
        bool outbound = false;
        bool dispatched = false;
    };

    struct callbacks;

    void make_session();
    stream* find(std::int32_t id);
    void on_whole(std::int32_t id, stream& at);
    void on_closed(std::int32_t id);
    nghttp2_data_provider provider();

    std::uint64_t id_;
    unique_fd socket_;
    bool outbound_;
    limits within_;
    connection_listener& listener_;
    traffic_counters& counters_;
    nghttp2_session* session_ = nullptr;
    absl::flat_hash_map<std::int32_t, std::unique_ptr<stream>> streams_;
    std::string out_;
    std::size_t out_sent_ = 0;
};

} // namespace jujubetide
