#pragma once

#include "peer/http2_connection.h"
#include "peer/worker_pool.h"

#include "jujubetide/peer/nghttp2_peer_link.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubetide {

/// Polls all sockets of a link on one thread. Public functions are thread-safe; the private ones
/// run on the loop's thread.
class nghttp2_peer_link::loop final : public connection_listener {
public:
    using steady = std::chrono::steady_clock;

    loop(unique_fd listener, std::pair<unique_fd, unique_fd> wake, const node_id& self,
         const peer_link_options& options);
    ~loop() override;
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    void start();
    void stop();
    absl::Status enqueue(const endpoint& peer, outbound_message message);
    void set_handler(peer_message_kind kind, handler function);
    [[nodiscard]] const unique_fd& listener() const { return listener_; }
    [[nodiscard]] const traffic_counters& counters() const { return counters_; }

protected:
    void do_on_request(std::uint64_t connection, std::int32_t stream,
                       peer_message message) override;
    void do_on_outbound_end(std::uint64_t connection, std::size_t bytes) override;

private:
    struct queued_message {
        endpoint peer;
        outbound_message message;
    };
    struct queued_answer {
        std::uint64_t connection = 0;
        std::int32_t stream = 0;
        absl::StatusOr<std::string> answer;
    };
    struct peer_queue {
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };
    struct connection_entry {
        std::unique_ptr<http2_connection> connection;
        bool outbound = false;
        bool connecting = false;
        steady::time_point started;
        steady::time_point last_received;
        steady::time_point last_ping;
    };
    struct peer_entry {
        /// 0: none.
        std::uint64_t connection = 0;
        std::deque<outbound_message> waiting;
        millis backoff{0};
        steady::time_point next_attempt;
    };

    void run();
    void wake();
    void poll_once();
    void take_queued();
    void handle_socket(std::uint64_t id, short events);
    void accept_all();
    void send_to(const endpoint& peer, outbound_message message);
    void connect(const endpoint& peer, peer_entry& entry);
    void on_connected(connection_entry& entry, const endpoint& peer);
    void submit(connection_entry& entry, const endpoint& peer, outbound_message message);
    void refuse(const endpoint& peer, const outbound_message& message);
    void release(const endpoint& peer, std::size_t bytes);
    void close(std::uint64_t id);
    void housekeep();
    [[nodiscard]] bool expired(const connection_entry& entry, steady::time_point now) const;
    void run_handler(std::uint64_t connection, std::int32_t stream, const peer_message& message);
    void answer(std::uint64_t connection, std::int32_t stream, absl::StatusOr<std::string> value);

    node_id self_;
    peer_link_options options_;
    unique_fd listener_;
    unique_fd wake_read_;
    unique_fd wake_write_;
    traffic_counters counters_;
    worker_pool workers_;

    std::mutex mutex_;
    bool stopping_ = false;
    bool woken_ = false;
    std::vector<queued_message> queued_;
    std::vector<queued_answer> answers_;
    std::map<endpoint, peer_queue> queues_;
    std::map<peer_message_kind, handler> handlers_;

    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, connection_entry> connections_;
    absl::flat_hash_map<std::uint64_t, endpoint> outbound_peers_;
    std::map<endpoint, peer_entry> peers_;
    steady::time_point next_housekeeping_;
    std::thread thread_;
};

} // namespace jujubetide
