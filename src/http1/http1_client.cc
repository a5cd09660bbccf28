// Idle connections are still read, so that a connection that ends or receives unsolicited bytes is
// removed from the pool at once.
#include "jujubetide/http1/http1_client.h"

#include "jujubetide/http1/message_parser.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Fraction of a server's announced keep-alive timeout after which its connection is not reused.
constexpr double usable_keep_alive_fraction = 0.5;
/// Idle connections retained for one server.
constexpr std::size_t max_idle_per_server = 32;
/// Call ids that a connection remembers before it is closed.
constexpr std::size_t max_ids_per_connection = 896;
/// Bytes that a call accepts before its own response: interim and late responses.
constexpr std::size_t max_bytes_before_response = std::size_t{1} << 20U;
/// Bytes of head and chunk framing that a response may have beyond the size of its body.
constexpr std::size_t max_extra_framing_bytes = std::size_t{4} << 20U;

/// The idle time in `Keep-Alive: timeout=SECONDS`, if present.
std::optional<micros> keep_alive_timeout(const header_list& headers) {
    const auto value = headers.find("Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(value->data(), value->size()), ',');
    for (const std::string& part : parts) {
        const std::vector<std::string> pair = absl::StrSplit(part, '=');
        int seconds = 0;
        if (pair.size() == 2 && has_token(pair[0], "timeout") &&
            absl::SimpleAtoi(pair[1], &seconds)) {
            return std::chrono::seconds(seconds);
        }
    }
    return std::nullopt;
}

} // namespace

/// A connection of the pool; carries one call at a time.
class pooled_connection final : public connection_events,
                                public message_events,
                                public std::enable_shared_from_this<pooled_connection> {
public:
    pooled_connection(std::shared_ptr<http1_client::shared_state> pool, endpoint server);

    void open();
    void start(std::string request, const call_options& options, call_events& events);
    /// Drops the call's events and closes the connection, with a reset unless it is idle.
    void detach();
    void set_reading(bool enabled);
    void prevent_reuse() { may_reuse_ = false; }
    [[nodiscard]] bool is_usable(time_point now, micros max_idle) const;
    /// Whether a call with this id was started here; also true if the hashes of two ids are equal.
    [[nodiscard]] bool has_carried(const std::string& correlation_id) const;
    [[nodiscard]] const endpoint& server() const { return server_; }
    /// The connection's number and the calls started on it so far.
    [[nodiscard]] connection_use use() const { return use_; }

protected:
    void do_connected() override;
    void do_data(std::string_view bytes) override;
    void do_end(connection_end end) override;
    void do_response_head(response_head head) override;
    void do_body(std::string_view bytes) override;

private:
    enum class state { connecting, active, idle, closed };

    void write_request();
    /// Accounts for `consumed` bytes of the response.
    void count_consumed(std::size_t consumed);
    [[nodiscard]] bool exceeds_limits() const;
    void complete();
    void fail(call_failure failure);
    void close(bool reset);

    std::shared_ptr<http1_client::shared_state> pool_;
    endpoint server_;
    std::shared_ptr<tcp_connection> connection_;
    message_parser parser_;
    state state_ = state::connecting;
    std::string request_;
    /// The request until it is written, and the head of a response until it is complete.
    memory_share request_memory_;
    memory_share head_memory_;
    call_events* events_ = nullptr;
    std::unique_ptr<timer_subscription> connect_timer_;
    std::unique_ptr<timer_subscription> timer_;
    bool keep_alive_ = false;
    bool may_reuse_ = true;
    bool skipping_response_ = false;
    bool informational_response_ = false;
    bool has_head_memory_ = true;
    /// Bytes of the current call that were not part of its own response.
    std::size_t bytes_before_response_ = 0;
    /// Bytes of the current call's own response, and those of them that belong to its body.
    std::size_t response_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    connection_use use_;
    /// Hashes of the ids of the calls started here.
    absl::flat_hash_set<std::size_t> carried_ids_;
    time_point connect_before_{};
    time_point idle_since_{};
    micros max_idle_ = micros::max();
};

struct http1_client::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(event_loop& client_loop, const clock& client_clock)
        : loop(client_loop), time(client_clock) {}

    event_loop& loop;
    const clock& time;
    absl::flat_hash_map<std::string, std::deque<std::shared_ptr<pooled_connection>>> idle;
    absl::flat_hash_map<std::string, std::size_t> open_counts;
    std::uint64_t opened = 0;

    std::shared_ptr<pooled_connection> take_idle(const endpoint& server,
                                                 const call_options& options) {
        const auto found = idle.find(server.str());
        if (found == idle.end()) {
            return nullptr;
        }
        auto& list = found->second;
        std::shared_ptr<pooled_connection> taken;
        // The most recently used first, so that surplus connections reach their idle limit and are
        // closed.
        for (std::size_t i = list.size(); i-- > 0 && !taken;) {
            const std::shared_ptr<pooled_connection> connection = list[i];
            const bool is_usable = connection->is_usable(time.now(), options.max_idle);
            if (is_usable && connection->has_carried(options.correlation_id)) {
                continue;
            }
            list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
            if (is_usable) {
                taken = connection;
            } else {
                connection->detach();
            }
        }
        if (list.empty()) {
            idle.erase(found);
        }
        return taken;
    }
    void add_idle(const std::shared_ptr<pooled_connection>& connection) {
        auto& list = idle[connection->server().str()];
        list.push_back(connection);
        if (list.size() > max_idle_per_server) {
            const auto oldest = std::move(list.front());
            list.pop_front();
            oldest->detach();
        }
    }
    void remove_idle(const std::shared_ptr<pooled_connection>& connection) {
        const auto found = idle.find(connection->server().str());
        if (found == idle.end()) {
            return;
        }
        std::erase(found->second, connection);
        if (found->second.empty()) {
            idle.erase(found);
        }
    }
    void on_closed(const endpoint& server) {
        const auto found = open_counts.find(server.str());
        if (found != open_counts.end() && --found->second == 0) {
            open_counts.erase(found);
        }
    }
};

pooled_connection::pooled_connection(std::shared_ptr<http1_client::shared_state> pool,
                                     endpoint server)
    : pool_(std::move(pool)), server_(std::move(server)),
      parser_(message_parser::kind::response, *this),
      request_memory_(pool_->loop.buffers(), memory_use::traffic),
      head_memory_(pool_->loop.buffers(), memory_use::traffic) {}

void pooled_connection::open() {
    use_.connection = ++pool_->opened;
    ++pool_->open_counts[server_.str()];
    connection_ = tcp_connection::connect(pool_->loop, server_, *this);
}

void pooled_connection::start(std::string request, const call_options& options,
                              call_events& events) {
    ++use_.earlier_calls;
    if (!options.correlation_id.empty()) {
        carried_ids_.insert(std::hash<std::string>()(options.correlation_id));
    }
    events_ = &events;
    request_ = std::move(request);
    request_memory_.force(request_.size());
    has_head_memory_ = true;
    keep_alive_ = false;
    skipping_response_ = false;
    bytes_before_response_ = 0;
    response_bytes_ = 0;
    body_bytes_ = 0;
    parser_.restart();
    const std::weak_ptr<pooled_connection> weak_self = weak_from_this();
    if (options.timeout > micros{0}) {
        timer_ = pool_->loop.once(options.timeout, [weak_self] {
            if (const auto self = weak_self.lock()) {
                self->fail(call_failure::timed_out);
            }
        });
    }
    if (state_ == state::connecting) {
        connect_before_ = pool_->time.now() + options.connect_timeout;
        connect_timer_ = pool_->loop.once(options.connect_timeout, [weak_self] {
            if (const auto self = weak_self.lock(); self && self->state_ == state::connecting) {
                self->fail(call_failure::not_connected);
            }
        });
        return;
    }
    state_ = state::active;
    write_request();
}

void pooled_connection::write_request() {
    connection_->write(request_);
    std::string().swap(request_); // Assigning an empty text would keep the capacity.
    request_memory_.force(0);
}

bool pooled_connection::is_usable(time_point now, micros max_idle) const {
    // What has arrived already cannot belong to the next call, though it has not been read yet.
    return state_ == state::idle && now - idle_since_ < std::min(max_idle, max_idle_) &&
           !connection_->has_unread_input();
}

bool pooled_connection::has_carried(const std::string& correlation_id) const {
    return !correlation_id.empty() &&
           carried_ids_.contains(std::hash<std::string>()(correlation_id));
}

void pooled_connection::do_connected() {
    connect_timer_.reset();
    // The loop's timers stand still while the machine is suspended; the caller's reasons to send
    // the request may be over by now.
    if (pool_->time.now() >= connect_before_) {
        fail(call_failure::not_connected);
        return;
    }
    state_ = state::active;
    write_request();
}

void pooled_connection::do_data(std::string_view bytes) {
    const auto self = shared_from_this();
    if (state_ == state::idle) {
        // Unsolicited bytes.
        pool_->remove_idle(self);
        close(true);
        return;
    }
    while (!bytes.empty() && state_ == state::active) {
        const std::size_t consumed = std::min(parser_.feed(bytes), bytes.size());
        bytes.remove_prefix(consumed);
        count_consumed(consumed);
        if (parser_.state() == parse_state::malformed || exceeds_limits()) {
            fail(call_failure::response_failed);
            return;
        }
        if (parser_.state() != parse_state::complete) {
            return;
        }
        if (skipping_response_ || informational_response_) {
            // After a response to an earlier request the connection is not reused: the server has
            // written one too many there.
            may_reuse_ = may_reuse_ && !skipping_response_;
            skipping_response_ = false;
            informational_response_ = false;
            parser_.restart();
            continue;
        }
        keep_alive_ = keep_alive_ && bytes.empty() && connection_->unsent_bytes() == 0;
        complete();
        return;
    }
}

void pooled_connection::count_consumed(std::size_t consumed) {
    const bool is_head = !parser_.is_head_complete();
    has_head_memory_ = head_memory_.resize(is_head ? head_memory_.size() + consumed : 0);
    if (skipping_response_ || informational_response_ || is_head) {
        bytes_before_response_ += consumed;
    } else {
        response_bytes_ += consumed;
    }
}

bool pooled_connection::exceeds_limits() const {
    return !has_head_memory_ || bytes_before_response_ > max_bytes_before_response ||
           response_bytes_ > 2 * body_bytes_ + max_extra_framing_bytes;
}

void pooled_connection::do_response_head(response_head head) {
    constexpr int first_final_status = 200;
    informational_response_ = head.status < first_final_status;
    if (informational_response_) {
        return;
    }
    skipping_response_ = !events_->on_head(head);
    keep_alive_ = head.keep_alive;
    max_idle_ = micros::max();
    if (const auto timeout = keep_alive_timeout(head.headers)) {
        max_idle_ = micros(static_cast<std::int64_t>(static_cast<double>(timeout->count()) *
                                                     usable_keep_alive_fraction));
    }
}

void pooled_connection::do_body(std::string_view bytes) {
    if (!skipping_response_ && events_ != nullptr) {
        body_bytes_ += bytes.size();
        events_->on_body(bytes);
    }
}

void pooled_connection::do_end(connection_end end) {
    const auto self = shared_from_this();
    const state previous_state = state_;
    if (previous_state == state::idle) {
        pool_->remove_idle(self);
    } else if (previous_state == state::active && end == connection_end::closed) {
        parser_.feed_eof();
        // A server that ends its side amid the request has not answered the whole of it.
        if (parser_.state() == parse_state::complete && !skipping_response_ &&
            connection_->unacknowledged_bytes() == 0) {
            keep_alive_ = false;
            complete();
            return;
        }
    }
    fail(previous_state == state::connecting ? call_failure::not_connected
                                             : call_failure::response_failed);
}

void pooled_connection::complete() {
    timer_.reset();
    call_events* events = std::exchange(events_, nullptr);
    const bool can_carry_more = may_reuse_ && carried_ids_.size() < max_ids_per_connection;
    if (keep_alive_ && can_carry_more && connection_->is_open()) {
        state_ = state::idle;
        idle_since_ = pool_->time.now();
        pool_->add_idle(shared_from_this());
    } else {
        close(false);
    }
    if (events != nullptr) {
        events->on_complete();
    }
}

void pooled_connection::fail(call_failure failure) {
    const auto self = shared_from_this();
    call_events* events = std::exchange(events_, nullptr);
    close(true);
    if (events != nullptr) {
        events->on_failed(failure);
    }
}

void pooled_connection::detach() {
    const auto self = shared_from_this();
    events_ = nullptr;
    close(state_ != state::idle);
}

void pooled_connection::set_reading(bool enabled) {
    if (state_ != state::active) {
        return;
    }
    if (enabled) {
        connection_->resume_reading();
    } else {
        connection_->pause_reading();
    }
}

void pooled_connection::close(bool reset) {
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    std::string().swap(request_);
    request_memory_.force(0);
    head_memory_.force(0);
    connect_timer_.reset();
    timer_.reset();
    pool_->on_closed(server_);
    if (reset) {
        connection_->reset();
    } else {
        connection_->close();
    }
}

namespace {

class running_call final : public http1_call {
public:
    running_call(std::shared_ptr<pooled_connection> connection, call_events& events)
        : connection_(std::move(connection)), use_(connection_->use()),
          tracker_(std::make_shared<tracker>(events)) {}
    ~running_call() override {
        if (!tracker_->ended) {
            connection_->detach();
        }
    }
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

    /// Forwards the events and records when the call has ended: its connection then belongs to the
    /// pool or to another call.
    class tracker final : public call_events, public std::enable_shared_from_this<tracker> {
    public:
        explicit tracker(call_events& target) : target_(target) {}
        bool ended = false;

    protected:
        // Each event may destroy the call, and with it the owner's reference to this object.
        bool do_head(const response_head& head) override {
            const auto self = shared_from_this();
            return target_.on_head(head);
        }
        void do_body(std::string_view bytes) override {
            const auto self = shared_from_this();
            target_.on_body(bytes);
        }
        void do_complete() override {
            const auto self = shared_from_this();
            ended = true;
            target_.on_complete();
        }
        void do_failed(call_failure failure) override {
            const auto self = shared_from_this();
            ended = true;
            target_.on_failed(failure);
        }

    private:
        call_events& target_;
    };

    call_events& events() { return *tracker_; }

protected:
    void do_set_reading(bool enabled) override {
        if (!tracker_->ended) {
            connection_->set_reading(enabled);
        }
    }
    connection_use do_connection() const override { return use_; }
    void do_prevent_reuse() override {
        if (!tracker_->ended) {
            connection_->prevent_reuse();
        }
    }

private:
    std::shared_ptr<pooled_connection> connection_;
    connection_use use_;
    std::shared_ptr<tracker> tracker_;
};

} // namespace

http1_client::http1_client(event_loop& loop, const clock& time)
    : state_(std::make_shared<shared_state>(loop, time)) {}

http1_client::~http1_client() {
    const auto idle = std::exchange(state_->idle, {});
    for (const auto& [server, list] : idle) {
        for (const auto& connection : list) {
            connection->detach();
        }
    }
}

std::unique_ptr<http1_call> http1_client::call(const endpoint& server, std::string request,
                                               const call_options& options, call_events& events) {
    std::shared_ptr<pooled_connection> connection = state_->take_idle(server, options);
    if (!connection) {
        connection = std::make_shared<pooled_connection>(state_, server);
        connection->open();
    }
    auto running = std::make_unique<running_call>(connection, events);
    connection->start(std::move(request), options, running->events());
    return running;
}

std::size_t http1_client::open_connections(const endpoint& server) const {
    const auto found = state_->open_counts.find(server.str());
    return found == state_->open_counts.end() ? 0 : found->second;
}

std::uint64_t http1_client::connections_opened() const {
    return state_->opened;
}

memory_budget& http1_client::buffers() const {
    return state_->loop.buffers();
}

std::unique_ptr<buffered_call> buffered_call::start(http1_client& client, const endpoint& server,
                                                    std::string request,
                                                    const call_options& options,
                                                    response_handler handler) {
    std::unique_ptr<buffered_call> buffered(
        new buffered_call(client.buffers(), std::move(handler)));
    buffered->call_ = client.call(server, std::move(request), options, *buffered);
    return buffered;
}

bool buffered_call::do_head(const response_head& head) {
    response_.status = head.status;
    response_.headers = head.headers;
    if (head.framing == body_framing::length &&
        (head.content_length > max_body_bytes || !memory_.fits(head.content_length))) {
        fail_too_large();
    }
    return true;
}

void buffered_call::do_body(std::string_view bytes) {
    const std::size_t size = response_.body.size() + bytes.size();
    if (size > max_body_bytes || !memory_.resize(size)) {
        fail_too_large();
        return;
    }
    response_.body += bytes;
}

void buffered_call::fail_too_large() {
    // The handler may destroy this call.
    const response_handler handler = std::move(handler_);
    call_.reset();
    response_ = {};
    memory_.force(0);
    handler(nullptr, call_failure::response_too_large);
}

void buffered_call::do_complete() {
    // The handler may destroy this call.
    const response_handler handler = std::move(handler_);
    const http1_response response = std::move(response_);
    handler(&response, call_failure::response_failed);
}

void buffered_call::do_failed(call_failure failure) {
    const response_handler handler = std::move(handler_);
    handler(nullptr, failure);
}

} // namespace jujubetide
