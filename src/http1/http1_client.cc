// A kept connection goes on being read, so that its end, or bytes that no call asked for, take it
// out of the pool at once.
#include "jujubetide/http1/http1_client.h"

#include "jujubetide/http1/message_parser.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Part of the idle time that a server promises after which its connection is not used any more.
constexpr double usable_part_of_keep_alive = 0.5;
/// Kept connections to one server.
constexpr std::size_t max_kept = 32;

/// The idle time in `Keep-Alive: timeout=SECONDS`, or nothing.
std::optional<micros> promised_idle(const header_list& headers) {
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
    pooled_connection(std::shared_ptr<http1_client::shared_state> pool, endpoint to);

    void open();
    void start(std::string request, const call_options& options, call_events& events);
    /// The call is over for its owner; the connection is closed unless it is kept.
    void detach();
    void set_reading(bool wanted);
    [[nodiscard]] bool is_usable(time_point now, micros max_idle) const;
    [[nodiscard]] const endpoint& to() const { return to_; }

protected:
    void do_connected() override;
    void do_data(std::string_view bytes) override;
    void do_end(connection_end end) override;
    void do_response_head(response_head head) override;
    void do_body(std::string_view bytes) override;

private:
    enum class state { connecting, calling, kept, over };

    void complete();
    void fail(call_failure how);
    void close(bool reset);

    std::shared_ptr<http1_client::shared_state> pool_;
    endpoint to_;
    std::shared_ptr<tcp_connection> connection_;
    message_parser parser_;
    state state_ = state::connecting;
    std::string request_;
    call_events* events_ = nullptr;
    std::unique_ptr<timer_subscription> connect_timer_;
    std::unique_ptr<timer_subscription> timer_;
    bool keep_ = false;
    bool skipping_ = false;
    bool informational_ = false;
    time_point kept_since_{};
    micros usable_idle_ = micros::max();
};

struct http1_client::shared_state : std::enable_shared_from_this<shared_state> {
    shared_state(event_loop& on, const clock& of) : loop(on), time(of) {}

    event_loop& loop;
    const clock& time;
    absl::flat_hash_map<std::string, std::deque<std::shared_ptr<pooled_connection>>> kept;
    absl::flat_hash_map<std::string, std::size_t> open;
    std::uint64_t made = 0;

    std::shared_ptr<pooled_connection> take(const endpoint& to, micros max_idle) {
        const auto found = kept.find(to.str());
        if (found == kept.end()) {
            return nullptr;
        }
        // The newest first, so that the others grow old and are closed.
        while (!found->second.empty()) {
            auto connection = std::move(found->second.back());
            found->second.pop_back();
            if (connection->is_usable(time.now(), max_idle)) {
                return connection;
            }
            connection->detach();
        }
        kept.erase(found);
        return nullptr;
    }
    void keep(const std::shared_ptr<pooled_connection>& connection) {
        auto& list = kept[connection->to().str()];
        list.push_back(connection);
        if (list.size() > max_kept) {
            const auto oldest = std::move(list.front());
            list.pop_front();
            oldest->detach();
        }
    }
    void remove(const std::shared_ptr<pooled_connection>& connection) {
        const auto found = kept.find(connection->to().str());
        if (found == kept.end()) {
            return;
        }
        std::erase(found->second, connection);
        if (found->second.empty()) {
            kept.erase(found);
        }
    }
    void closed(const endpoint& to) {
        const auto found = open.find(to.str());
        if (found != open.end() && --found->second == 0) {
            open.erase(found);
        }
    }
};

pooled_connection::pooled_connection(std::shared_ptr<http1_client::shared_state> pool, endpoint to)
    : pool_(std::move(pool)), to_(std::move(to)), parser_(message_parser::kind::response, *this) {}

void pooled_connection::open() {
    ++pool_->made;
    ++pool_->open[to_.str()];
    connection_ = tcp_connection::connect(pool_->loop, to_, *this);
}

void pooled_connection::start(std::string request, const call_options& options,
                              call_events& events) {
    events_ = &events;
    request_ = std::move(request);
    keep_ = false;
    skipping_ = false;
    parser_.restart();
    const std::weak_ptr<pooled_connection> self = weak_from_this();
    if (options.timeout > micros{0}) {
        timer_ = pool_->loop.once(options.timeout, [self] {
            if (const auto alive = self.lock()) {
                alive->fail(call_failure::timed_out);
            }
        });
    }
    if (state_ == state::connecting) {
        connect_timer_ = pool_->loop.once(options.connect_timeout, [self] {
            if (const auto alive = self.lock(); alive && alive->state_ == state::connecting) {
                alive->fail(call_failure::not_connected);
            }
        });
        return;
    }
    state_ = state::calling;
    connection_->write(request_);
    request_.clear();
}

bool pooled_connection::is_usable(time_point now, micros max_idle) const {
    return state_ == state::kept && now - kept_since_ < std::min(max_idle, usable_idle_);
}

void pooled_connection::do_connected() {
    connect_timer_.reset();
    state_ = state::calling;
    connection_->write(request_);
    request_.clear();
}

void pooled_connection::do_data(std::string_view bytes) {
    const auto alive = shared_from_this();
    if (state_ == state::kept) {
        // Nobody asked for these bytes.
        pool_->remove(alive);
        close(true);
        return;
    }
    while (!bytes.empty() && state_ == state::calling) {
        bytes.remove_prefix(std::min(parser_.feed(bytes), bytes.size()));
        if (parser_.state() == parse_state::malformed) {
            fail(call_failure::response_failed);
            return;
        }
        if (parser_.state() != parse_state::complete) {
            return;
        }
        if (skipping_ || informational_) {
            // A response to an earlier request; the connection is not trusted any further.
            keep_ = keep_ && informational_;
            skipping_ = false;
            parser_.restart();
            continue;
        }
        keep_ = keep_ && bytes.empty() && connection_->unsent_bytes() == 0;
        complete();
        return;
    }
}

void pooled_connection::do_response_head(response_head head) {
    constexpr int first_final_status = 200;
    informational_ = head.status < first_final_status;
    if (informational_) {
        return;
    }
    skipping_ = !events_->on_head(head);
    keep_ = head.keep_alive && !skipping_;
    usable_idle_ = micros::max();
    if (const auto idle = promised_idle(head.headers)) {
        usable_idle_ = micros(static_cast<std::int64_t>(static_cast<double>(idle->count()) *
                                                        usable_part_of_keep_alive));
    }
}

void pooled_connection::do_body(std::string_view bytes) {
    if (!skipping_ && events_ != nullptr) {
        events_->on_body(bytes);
    }
}

void pooled_connection::do_end(connection_end end) {
    const auto alive = shared_from_this();
    const state before = state_;
    if (before == state::kept) {
        pool_->remove(alive);
    } else if (before == state::calling && end == connection_end::closed) {
        parser_.feed_eof();
        if (parser_.state() == parse_state::complete && !skipping_) {
            keep_ = false;
            complete();
            return;
        }
    }
    fail(before == state::connecting ? call_failure::not_connected : call_failure::response_failed);
}

void pooled_connection::complete() {
    timer_.reset();
    call_events* events = std::exchange(events_, nullptr);
    if (keep_ && connection_->is_open()) {
        state_ = state::kept;
        kept_since_ = pool_->time.now();
        pool_->keep(shared_from_this());
    } else {
        close(false);
    }
    if (events != nullptr) {
        events->on_complete();
    }
}

void pooled_connection::fail(call_failure how) {
    const auto alive = shared_from_this();
    call_events* events = std::exchange(events_, nullptr);
    close(true);
    if (events != nullptr) {
        events->on_failed(how);
    }
}

void pooled_connection::detach() {
    const auto alive = shared_from_this();
    events_ = nullptr;
    close(state_ != state::kept);
}

void pooled_connection::set_reading(bool wanted) {
    if (state_ != state::calling) {
        return;
    }
    if (wanted) {
        connection_->resume_reading();
    } else {
        connection_->pause_reading();
    }
}

void pooled_connection::close(bool reset) {
    if (state_ == state::over) {
        return;
    }
    state_ = state::over;
    connect_timer_.reset();
    timer_.reset();
    pool_->closed(to_);
    if (reset) {
        connection_->reset();
    } else {
        connection_->close();
    }
}

namespace {

class running_call final : public http1_call {
public:
    explicit running_call(std::shared_ptr<pooled_connection> connection, call_events& events)
        : connection_(std::move(connection)), tracker_(std::make_shared<tracker>(events)) {}
    ~running_call() override {
        if (!tracker_->over) {
            connection_->detach();
        }
    }
    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

    /// Passes the events on and remembers when the call is over: its connection then belongs to the
    /// pool or to another call.
    class tracker final : public call_events, public std::enable_shared_from_this<tracker> {
    public:
        explicit tracker(call_events& to) : to_(to) {}
        bool over = false;

    protected:
        // Each event may destroy the call, and with it the owner's reference to this object.
        bool do_head(const response_head& head) override {
            const auto alive = shared_from_this();
            return to_.on_head(head);
        }
        void do_body(std::string_view bytes) override {
            const auto alive = shared_from_this();
            to_.on_body(bytes);
        }
        void do_complete() override {
            const auto alive = shared_from_this();
            over = true;
            to_.on_complete();
        }
        void do_failed(call_failure how) override {
            const auto alive = shared_from_this();
            over = true;
            to_.on_failed(how);
        }

    private:
        call_events& to_;
    };

    call_events& events() { return *tracker_; }

protected:
    void do_set_reading(bool wanted) override {
        if (!tracker_->over) {
            connection_->set_reading(wanted);
        }
    }

private:
    std::shared_ptr<pooled_connection> connection_;
    std::shared_ptr<tracker> tracker_;
};

} // namespace

http1_client::http1_client(event_loop& loop, const clock& time)
    : state_(std::make_shared<shared_state>(loop, time)) {}

http1_client::~http1_client() {
    const auto kept = std::exchange(state_->kept, {});
    for (const auto& [to, list] : kept) {
        for (const auto& connection : list) {
            connection->detach();
        }
    }
}

std::unique_ptr<http1_call> http1_client::call(const endpoint& to, std::string request,
                                               const call_options& options, call_events& events) {
    std::shared_ptr<pooled_connection> connection = state_->take(to, options.max_idle);
    if (!connection) {
        connection = std::make_shared<pooled_connection>(state_, to);
        connection->open();
    }
    auto made = std::make_unique<running_call>(connection, events);
    connection->start(std::move(request), options, made->events());
    return made;
}

std::size_t http1_client::open_connections(const endpoint& to) const {
    const auto found = state_->open.find(to.str());
    return found == state_->open.end() ? 0 : found->second;
}

std::uint64_t http1_client::connections_opened() const {
    return state_->made;
}

std::unique_ptr<buffered_call> buffered_call::start(http1_client& client, const endpoint& to,
                                                    std::string request,
                                                    const call_options& options,
                                                    response_handler handler) {
    std::unique_ptr<buffered_call> made(new buffered_call(std::move(handler)));
    made->call_ = client.call(to, std::move(request), options, *made);
    return made;
}

bool buffered_call::do_head(const response_head& head) {
    response_.status = head.status;
    response_.headers = head.headers;
    return true;
}

void buffered_call::do_body(std::string_view bytes) {
    too_large_ = too_large_ || response_.body.size() + bytes.size() > max_bytes;
    if (!too_large_) {
        response_.body += bytes;
    }
}

void buffered_call::do_complete() {
    // The handler may destroy this call.
    const response_handler handler = std::move(handler_);
    const http1_response response = std::move(response_);
    handler(too_large_ ? nullptr : &response, call_failure::response_failed);
}

void buffered_call::do_failed(call_failure how) {
    const response_handler handler = std::move(handler_);
    handler(nullptr, how);
}

} // namespace jujubetide
