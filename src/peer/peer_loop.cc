#include "peer/peer_loop.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <poll.h>
#include <unistd.h>

namespace jujubetide {
namespace {

constexpr millis housekeeping_period{200};
constexpr millis ping_period{5'000};

} // namespace

nghttp2_peer_link::loop::loop(unique_fd listener, std::pair<unique_fd, unique_fd> wake,
                              const node_id& self, const peer_link_options& options)
    : self_(self), options_(options), listener_(std::move(listener)),
      wake_read_(std::move(wake.first)), wake_write_(std::move(wake.second)),
      workers_(options.workers, options.worker_queue) {}

nghttp2_peer_link::loop::~loop() {
    stop();
}

void nghttp2_peer_link::loop::start() {
    thread_ = std::thread([this] { run(); });
}

void nghttp2_peer_link::loop::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake();
    if (thread_.joinable()) {
        thread_.join();
    }
    workers_.stop();
}

void nghttp2_peer_link::loop::wake() {
    const char byte = 0;
    // A full pipe wakes the loop as well.
    [[maybe_unused]] const ssize_t count = ::write(wake_write_.get(), &byte, 1);
}

absl::Status nghttp2_peer_link::loop::enqueue(const endpoint& peer, outbound_message message) {
    bool wake_needed = false;
    {
        const std::lock_guard lock(mutex_);
        peer_queue& queue = queues_[peer];
        const std::size_t bytes = message.body.size();
        if (stopping_ || queue.messages >= options_.peer_queue ||
            (queue.messages > 0 && queue.bytes + bytes > options_.peer_queue_bytes)) {
            return absl::UnavailableError(absl::StrCat(
                stopping_ ? "the link has stopped" : "too much is queued to ", peer.str()));
        }
        ++queue.messages;
        queue.bytes += bytes;
        queued_.push_back({peer, std::move(message)});
        wake_needed = !woken_;
        woken_ = true;
    }
    if (wake_needed) {
        wake();
    }
    return absl::OkStatus();
}

void nghttp2_peer_link::loop::set_handler(peer_message_kind kind, handler function) {
    const std::lock_guard lock(mutex_);
    handlers_[kind] = std::move(function);
}

void nghttp2_peer_link::loop::run() {
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                break;
            }
        }
        poll_once();
    }
    while (!connections_.empty()) {
        close(connections_.begin()->first);
    }
    const std::lock_guard lock(mutex_);
    for (const queued_message& entry : queued_) {
        if (entry.message.call) {
            entry.message.call->fail();
        }
    }
    queued_.clear();
}

void nghttp2_peer_link::loop::poll_once() {
    std::vector<pollfd> sockets{{wake_read_.get(), POLLIN, 0}, {listener_.get(), POLLIN, 0}};
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : connections_) {
        const bool write = entry.connecting || entry.connection->wants_write();
        const int events = (entry.connecting ? 0 : POLLIN) | (write ? POLLOUT : 0);
        sockets.push_back({entry.connection->fd(), static_cast<short>(events), 0});
        ids.push_back(id);
    }
    ::poll(sockets.data(), sockets.size(), static_cast<int>(housekeeping_period.count()));
    if (sockets[0].revents != 0) {
        std::array<char, 256> drained{};
        while (::read(wake_read_.get(), drained.data(), drained.size()) > 0) {
        }
    }
    if (sockets[1].revents != 0) {
        accept_all();
    }
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (sockets[i + 2].revents != 0) {
            handle_socket(ids[i], sockets[i + 2].revents);
        }
    }
    take_queued();
    if (steady::now() >= next_housekeeping_) {
        next_housekeeping_ = steady::now() + housekeeping_period;
        housekeep();
    }
}

void nghttp2_peer_link::loop::handle_socket(std::uint64_t id, short events) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    connection_entry& entry = found->second;
    bool alive = true;
    if (entry.connecting) {
        alive = connected(entry.connection->socket());
        if (alive) {
            on_connected(entry, outbound_peers_.at(id));
        }
    } else if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        entry.last_received = steady::now();
        alive = entry.connection->read();
    }
    alive = alive && entry.connection->write();
    if (!alive) {
        close(id);
    }
}

void nghttp2_peer_link::loop::accept_all() {
    while (true) {
        unique_fd socket = accept_from(listener_);
        if (socket.get() < 0) {
            return;
        }
        const auto inbound = static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(),
                          [](const auto& entry) { return !entry.second.outbound; }));
        if (inbound >= options_.max_inbound_connections) {
            continue;
        }
        const std::uint64_t id = next_id_++;
        connection_entry& entry = connections_[id];
        entry.started = entry.last_received = steady::now();
        entry.connection = std::make_unique<http2_connection>(
            id, std::move(socket), false, http2_connection::limits{options_.max_body_bytes}, *this,
            counters_);
    }
}

void nghttp2_peer_link::loop::take_queued() {
    std::vector<queued_message> messages;
    std::vector<queued_answer> answers;
    {
        const std::lock_guard lock(mutex_);
        messages.swap(queued_);
        answers.swap(answers_);
        woken_ = false;
    }
    for (queued_answer& entry : answers) {
        const auto found = connections_.find(entry.connection);
        if (found != connections_.end()) {
            found->second.connection->respond(entry.stream, entry.answer);
        }
    }
    for (queued_message& entry : messages) {
        send_to(entry.peer, std::move(entry.message));
    }
    std::vector<std::uint64_t> broken;
    for (auto& [id, entry] : connections_) {
        if (!entry.connecting && entry.connection->wants_write() && !entry.connection->write()) {
            broken.push_back(id);
        }
    }
    for (const std::uint64_t id : broken) {
        close(id);
    }
}

void nghttp2_peer_link::loop::send_to(const endpoint& peer, outbound_message message) {
    peer_entry& entry = peers_[peer];
    if (entry.connection == 0) {
        if (steady::now() < entry.next_attempt) {
            refuse(peer, message);
            return;
        }
        connect(peer, entry);
        if (entry.connection == 0) {
            refuse(peer, message);
            return;
        }
    }
    connection_entry& open = connections_.at(entry.connection);
    if (open.connecting) {
        entry.waiting.push_back(std::move(message));
        return;
    }
    submit(open, peer, std::move(message));
}

void nghttp2_peer_link::loop::connect(const endpoint& peer, peer_entry& entry) {
    auto socket = connect_to(peer);
    if (!socket.ok()) {
        entry.backoff = std::clamp(entry.backoff * 2, options_.backoff_min, options_.backoff_max);
        entry.next_attempt = steady::now() + entry.backoff;
        return;
    }
    const std::uint64_t id = next_id_++;
    connection_entry& made = connections_[id];
    made.outbound = true;
    made.connecting = true;
    made.started = made.last_received = steady::now();
    made.connection = std::make_unique<http2_connection>(
        id, *std::move(socket), true, http2_connection::limits{options_.max_body_bytes}, *this,
        counters_);
    outbound_peers_[id] = peer;
    entry.connection = id;
}

void nghttp2_peer_link::loop::on_connected(connection_entry& entry, const endpoint& peer) {
    entry.connecting = false;
    entry.last_received = steady::now();
    peer_entry& owner = peers_[peer];
    owner.backoff = millis{0};
    std::deque<outbound_message> waiting;
    waiting.swap(owner.waiting);
    for (outbound_message& message : waiting) {
        submit(entry, peer, std::move(message));
    }
}

void nghttp2_peer_link::loop::submit(connection_entry& entry, const endpoint& peer,
                                     outbound_message message) {
    const std::shared_ptr<pending_call> call = message.call;
    const std::size_t bytes = message.body.size();
    if (call && call->is_abandoned()) {
        release(peer, bytes);
        return;
    }
    if (!entry.connection->has_streams()) {
        // Silence counts from the first open stream on.
        entry.last_received = steady::now();
    }
    if (call && !call->begin()) {
        release(peer, bytes);
        return;
    }
    if (!entry.connection->submit(self_, std::move(message))) {
        if (call) {
            call->finish(absl::UnavailableError("the connection takes no more messages"));
        }
        release(peer, bytes);
    }
}

void nghttp2_peer_link::loop::refuse(const endpoint& peer, const outbound_message& message) {
    if (message.call) {
        message.call->fail();
    }
    release(peer, message.body.size());
}

void nghttp2_peer_link::loop::release(const endpoint& peer, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    const auto found = queues_.find(peer);
    if (found == queues_.end()) {
        return;
    }
    found->second.messages -= 1;
    found->second.bytes -= bytes;
    if (found->second.messages == 0) {
        queues_.erase(found);
    }
}

void nghttp2_peer_link::loop::close(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    connection_entry closed = std::move(found->second);
    connections_.erase(found);
    const auto peer = outbound_peers_.find(id);
    std::deque<outbound_message> waiting;
    if (peer != outbound_peers_.end()) {
        peer_entry& owner = peers_[peer->second];
        owner.connection = 0;
        waiting.swap(owner.waiting);
        if (closed.connecting) {
            owner.backoff =
                std::clamp(owner.backoff * 2, options_.backoff_min, options_.backoff_max);
            owner.next_attempt = steady::now() + owner.backoff;
        }
        for (const outbound_message& message : waiting) {
            refuse(peer->second, message);
        }
    }
    closed.connection.reset();
    outbound_peers_.erase(id);
}

bool nghttp2_peer_link::loop::expired(const connection_entry& entry, steady::time_point now) const {
    if (entry.connecting) {
        return now - entry.started > options_.connect_timeout;
    }
    if (entry.outbound) {
        return entry.connection->has_streams() &&
               now - entry.last_received > options_.silence_timeout;
    }
    return now - entry.last_received > options_.idle_timeout;
}

void nghttp2_peer_link::loop::housekeep() {
    const steady::time_point now = steady::now();
    std::vector<std::uint64_t> ended;
    for (auto& [id, entry] : connections_) {
        if (expired(entry, now)) {
            ended.push_back(id);
            continue;
        }
        if (entry.connecting || !entry.outbound || !entry.connection->has_streams()) {
            continue;
        }
        entry.connection->drop_abandoned();
        if (now - entry.last_ping > ping_period) {
            entry.last_ping = now;
            entry.connection->ping();
        }
    }
    for (const std::uint64_t id : ended) {
        close(id);
    }
    std::erase_if(peers_, [now](const auto& item) {
        constexpr millis peer_lifetime{60'000};
        return item.second.connection == 0 && now - item.second.next_attempt > peer_lifetime;
    });
}

void nghttp2_peer_link::loop::do_on_request(std::uint64_t connection, std::int32_t stream,
                                            peer_message message) {
    const auto shared = std::make_shared<const peer_message>(std::move(message));
    const bool taken = workers_.post(
        [this, connection, stream, shared] { run_handler(connection, stream, *shared); });
    if (!taken) {
        answer(connection, stream, absl::UnavailableError("too many messages wait for a worker"));
    }
}

void nghttp2_peer_link::loop::run_handler(std::uint64_t connection, std::int32_t stream,
                                          const peer_message& message) {
    handler function;
    {
        const std::lock_guard lock(mutex_);
        const auto found = handlers_.find(message.kind);
        if (found != handlers_.end()) {
            function = found->second;
        }
    }
    if (message.from.empty()) {
        answer(connection, stream, absl::InvalidArgumentError("the sender is not named"));
    } else if (!function) {
        answer(connection, stream, absl::UnimplementedError("no handler for this kind"));
    } else {
        answer(connection, stream, function(message));
    }
}

void nghttp2_peer_link::loop::answer(std::uint64_t connection, std::int32_t stream,
                                     absl::StatusOr<std::string> value) {
    bool wake_needed = false;
    {
        const std::lock_guard lock(mutex_);
        answers_.push_back({connection, stream, std::move(value)});
        wake_needed = !woken_;
        woken_ = true;
    }
    if (wake_needed) {
        wake();
    }
}

void nghttp2_peer_link::loop::do_on_outbound_end(std::uint64_t connection, std::size_t bytes) {
    const auto peer = outbound_peers_.find(connection);
    if (peer != outbound_peers_.end()) {
        release(peer->second, bytes);
    }
}

} // namespace jujubetide
