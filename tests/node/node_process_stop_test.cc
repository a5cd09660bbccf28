// The node program under load, stopped again and again while callers keep their connections open.
// JUJUBETIDE_SOAK_SEED, JUJUBETIDE_SOAK_SECONDS and JUJUBETIDE_SOAK_CALLERS choose another run.
#include "node_fixture.h"
#include "node_process.h"
#include "support/environment.h"
#include "support/row_store_server.h"

#include "jujubetide/http1/message_parser.h"
#include "jujubetide/net/tcp_connection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <map>

using namespace jujubetide;

namespace {

constexpr int node_count = 8;
constexpr int default_caller_count = 24;
constexpr std::size_t min_ready_nodes = 3;
/// `gracePeriodS` of the settings of `node_process`.
constexpr micros grace_period{8'000'000};
/// A request whose connection ended sooner after its last byte may have been in transit.
constexpr micros transit_time{200'000};
/// The users' rule: a stopping node may cut what is sent no later than `new_call_time` after the
/// signal and still runs in the last sixth of the grace period.
constexpr micros new_call_time{3'000'000};
constexpr micros cut_time = grace_period * 5 / 6;

/// The parts of the run that callers, servers and nodes share.
struct soak_state {
    explicit soak_state(std::uint64_t seed) : random(seed) {}

    [[nodiscard]] millis random_delay(std::uint64_t below_ms) {
        return millis(random.below(below_ms));
    }
    void after(micros delay, std::function<void()> action) {
        timers.push_back(loop.once(delay, std::move(action)));
    }

    event_loop loop;
    boot_clock time;
    seeded_random random;
    std::vector<std::unique_ptr<timer_subscription>> timers;
    /// Nodes that callers would get from the directory.
    std::vector<endpoint> listed_nodes;
    bool has_callers = true;
    /// Requests that reached a backend server, with the number of times.
    std::map<std::string, int> server_calls;
    std::vector<std::string> lost;
    std::vector<std::string> doubled;
    std::map<int, int> answers_by_status;
    int in_transit = 0;
    int cut_at_end_of_grace = 0;
    /// When each stopping node got its first signal, by its address.
    std::map<std::string, time_point> stops_began;
};

/// Sends one request after the other on its connection until the node asks to close it or closes
/// it, then uses another node.
class keeping_caller final : public connection_events, public message_events {
public:
    keeping_caller(soak_state& state, int index)
        : state_(state), name_("c" + std::to_string(index)), leaves_when_asked_(index % 2 == 0),
          parser_(message_parser::kind::response, *this) {
        state_.after(state_.random_delay(500), [this] { connect(); });
    }
    ~keeping_caller() override {
        if (connection_) {
            connection_->reset();
        }
    }
    keeping_caller(const keeping_caller&) = delete;
    keeping_caller& operator=(const keeping_caller&) = delete;

    [[nodiscard]] bool is_waiting() const { return is_waiting_; }

protected:
    void do_connected() override { send_after_pause(); }
    void do_data(std::string_view bytes) override {
        while (!bytes.empty() && parser_.state() == parse_state::incomplete) {
            bytes.remove_prefix(std::min(parser_.feed(bytes), bytes.size()));
        }
        if (parser_.state() == parse_state::malformed) {
            state_.lost.push_back(id_ + " malformed");
        }
        if (parser_.state() == parse_state::complete) {
            take_response();
        }
    }
    void do_response_head(response_head head) override { head_ = std::move(head); }
    void do_body(std::string_view) override {}
    void do_end(connection_end) override {
        if (std::exchange(is_waiting_, false) && is_sent_) {
            const bool has_reached_server = state_.server_calls.contains(id_);
            const micros since_sent = state_.time.now() - sent_at_;
            if (may_be_cut()) {
                ++state_.cut_at_end_of_grace;
            } else if (has_reached_server || since_sent > transit_time) {
                state_.lost.push_back(id_ +
                                      (has_reached_server ? " at a server, after " : " after ") +
                                      std::to_string(since_sent.count()) + " us");
            } else {
                ++state_.in_transit;
            }
        }
        leave();
    }

private:
    void connect() {
        if (!state_.has_callers) {
            return;
        }
        if (state_.listed_nodes.empty()) {
            state_.after(millis{50}, [this] { connect(); });
            return;
        }
        node_ = state_.listed_nodes[state_.random.below(state_.listed_nodes.size())];
        connection_ = tcp_connection::connect(state_.loop, node_, *this);
    }
    [[nodiscard]] bool may_be_cut() const {
        const auto stop = state_.stops_began.find(node_.str());
        return stop != state_.stops_began.end() && sent_at_ <= stop->second + new_call_time &&
               state_.time.now() >= stop->second + cut_time;
    }
    void leave() {
        ++connection_number_;
        if (const auto left = std::exchange(connection_, nullptr)) {
            left->close();
        }
        state_.after(state_.random_delay(50), [this] { connect(); });
    }
    /// Runs `action` later, unless the connection has ended by then.
    void on_connection_after(millis delay, std::function<void()> action) {
        state_.after(delay, [this, number = connection_number_, action = std::move(action)] {
            if (number == connection_number_) {
                action();
            }
        });
    }
    void send_after_pause() {
        static constexpr std::array<std::uint64_t, 6> longest_pauses_ms{1, 1, 20, 150, 150, 3'000};
        const std::uint64_t longest = longest_pauses_ms[state_.random.below(6)];
        on_connection_after(state_.random_delay(longest), [this] { send(); });
    }
    void send() {
        if (!state_.has_callers) {
            return;
        }
        static constexpr std::array<const char*, 4> paths{"/often/", "/once/", "/stream/",
                                                          "/resumed/"};
        id_ = name_ + "-" + std::to_string(++request_number_);
        is_waiting_ = true;
        is_sent_ = false;
        parser_.restart();
        header_list headers;
        headers.add("Host", "h.example");
        headers.add("X-Attempt-Id", id_);
        headers.add("Authorization", "Token key");
        const std::string request = serialize_request(
            "POST", paths[state_.random.below(paths.size())], headers, std::string(200, 'b'));
        const std::size_t first = state_.random.below(3) == 0
                                      ? 1 + state_.random.below(request.size() - 1)
                                      : request.size();
        connection_->write(request.substr(0, first));
        if (first == request.size()) {
            on_sent();
            return;
        }
        on_connection_after(state_.random_delay(60), [this, rest = request.substr(first)] {
            connection_->write(rest);
            on_sent();
        });
    }
    void on_sent() {
        is_sent_ = true;
        sent_at_ = state_.time.now();
    }
    void take_response() {
        is_waiting_ = false;
        ++state_.answers_by_status[head_.status];
        if (head_.keep_alive) {
            send_after_pause();
        } else if (leaves_when_asked_) {
            leave();
        }
    }

    soak_state& state_;
    std::string name_;
    /// The others leave it to the node to close the connection.
    bool leaves_when_asked_;
    message_parser parser_;
    endpoint node_;
    std::shared_ptr<tcp_connection> connection_;
    int connection_number_ = 0;
    int request_number_ = 0;
    std::string id_;
    response_head head_;
    bool is_waiting_ = false;
    bool is_sent_ = false;
    time_point sent_at_{};
};

/// A node that is stopped and started again, and what is known of it.
class restarted_node {
public:
    restarted_node(soak_state& state, const std::filesystem::path& folder, int index,
                   const endpoint& store)
        : state_(state), process_(folder, index, store), client_(state.loop, state.time) {
        process_.start();
    }
    [[nodiscard]] bool is_ready() const { return is_ready_; }
    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] const std::vector<micros>& stop_times() const { return stop_times_; }
    [[nodiscard]] const std::vector<int>& exit_codes() const { return exit_codes_; }

    void stop() {
        is_ready_ = false;
        stop_began_ = state_.time.now();
        state_.stops_began[address_.str()] = stop_began_;
        process_.signal(SIGTERM);
    }
    void signal(int number) { process_.signal(number); }
    /// Looks whether the process has ended or become ready.
    void check() {
        if (const std::optional<int> code = process_.take_exit_code()) {
            exit_codes_.push_back(*code);
            stop_times_.push_back(state_.time.now() - stop_began_);
            has_exited_ = true;
            state_.after(state_.random_delay(400), [this] {
                state_.stops_began.erase(address_.str());
                process_.start();
                has_exited_ = false;
                stop_began_ = {};
            });
            return;
        }
        if (!is_ready_ && !has_exited_ && stop_began_ == time_point{} && !readiness_call_) {
            ask_readiness();
        }
    }

private:
    void ask_readiness() {
        header_list headers;
        headers.add("Host", "h.example");
        call_options options;
        options.timeout = millis{500};
        options.max_idle = micros{0};
        readiness_call_ =
            buffered_call::start(client_, process_.readiness_endpoint(),
                                 serialize_request("GET", "/v1/readyz", headers, ""), options,
                                 [this](const http1_response* response, call_failure) {
                                     is_ready_ = response != nullptr && response->status == 200;
                                     state_.after(millis{50}, [this] { readiness_call_.reset(); });
                                 });
    }

    soak_state& state_;
    node_process process_;
    endpoint address_ = process_.caller_endpoint();
    http1_client client_;
    std::unique_ptr<buffered_call> readiness_call_;
    bool is_ready_ = false;
    bool has_exited_ = false;
    time_point stop_began_{};
    std::vector<micros> stop_times_;
    std::vector<int> exit_codes_;
};

/// Some streams outlast the stop of their node.
constexpr millis longest_stream{6'000};

nlohmann::json route_changes() {
    const nlohmann::json changes{{"timeoutMs", 20'000}, {"targetLatencyMs", 5'000}};
    return {{"stream", changes}, {"resumed", changes}};
}

/// The store, the backend servers, the nodes and the callers of one run.
class soak_run {
public:
    soak_run(std::uint64_t seed, int caller_count)
        : state(seed), folder_(std::filesystem::temp_directory_path() /
                               ("jujubetide-soak-" + std::to_string(::getpid()))),
          store_(state.loop), store_server_(state.loop, state.time, store_),
          plain_(state.loop, state.time, [this](scripted_call& call) { answer_plain(call); }),
          model_(state.loop, state.time, [this](scripted_call& call) { answer_stream(call); }) {
        std::filesystem::create_directories(folder_);
        store_.put("op", "config", config_of_test(++config_version_, route_changes()));
        store_.put("servers", "i-1", registration_of_test("plain", plain_.address()));
        store_.put("servers", "i-2", registration_of_test("model", model_.address()));
        for (int i = 1; i <= node_count; ++i) {
            nodes_.push_back(
                std::make_unique<restarted_node>(state, folder_, i, store_server_.address()));
        }
        for (int i = 0; i < caller_count; ++i) {
            callers_.push_back(std::make_unique<keeping_caller>(state, i));
        }
    }
    ~soak_run() {
        callers_.clear();
        nodes_.clear();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    /// Returns whether every request has ended.
    bool run(micros duration) {
        const auto checking = state.loop.every(millis{10}, millis{10}, [this] { check_nodes(); });
        const auto stopping =
            state.loop.every(millis{250}, millis{250}, [this] { disturb_random_node(); });
        run_for(state.loop, duration);
        state.has_callers = false;
        return run_until(state.loop, [this] {
            return std::none_of(callers_.begin(), callers_.end(),
                                [](const auto& one) { return one->is_waiting(); });
        });
    }
    [[nodiscard]] std::vector<micros> stop_times() const {
        std::vector<micros> times;
        for (const auto& node : nodes_) {
            times.insert(times.end(), node->stop_times().begin(), node->stop_times().end());
        }
        std::sort(times.begin(), times.end());
        return times;
    }
    [[nodiscard]] bool all_exited_in_order() const {
        return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) {
            return std::all_of(node->exit_codes().begin(), node->exit_codes().end(),
                               [](int code) { return code == 0; });
        });
    }

    soak_state state;

private:
    void record_call(const scripted_call& call) {
        const std::string id(call.head.headers.find("X-Attempt-Id").value_or(""));
        if (++state.server_calls[id] > 1 && call.head.target == "/once/") {
            state.doubled.push_back(id);
        }
    }
    void answer_plain(scripted_call& call) {
        record_call(call);
        state.after(state.random_delay(80), [&call] { answer(call, 200, "ok"); });
    }
    void answer_stream(scripted_call& call) {
        record_call(call);
        begin_events(call);
        const micros duration =
            state.random_delay(state.random.below(4) == 0 ? longest_stream.count() : 600);
        send_event(call, 1, state.time.now() + duration);
    }
    void send_event(scripted_call& call, int id, time_point end) {
        call.exchange->write(event_text(id));
        if (state.time.now() >= end) {
            call.exchange->finish();
            return;
        }
        state.after(state.random_delay(300),
                    [this, &call, id, end] { send_event(call, id + 1, end); });
    }
    void check_nodes() {
        std::vector<endpoint> listed;
        for (const auto& node : nodes_) {
            node->check();
            if (node->is_ready()) {
                listed.push_back(node->address());
            }
        }
        if (listed == ready_nodes_) {
            return;
        }
        ready_nodes_ = listed;
        // Callers use a list for up to two seconds after it has changed.
        state.after(state.random_delay(2'000), [this, listed, number = ++list_number_] {
            if (number > used_list_number_) {
                used_list_number_ = number;
                state.listed_nodes = listed;
            }
        });
    }
    void disturb_random_node() {
        restarted_node& node = *nodes_[state.random.below(nodes_.size())];
        const auto ready = std::count_if(nodes_.begin(), nodes_.end(),
                                         [](const auto& one) { return one->is_ready(); });
        if (!node.is_ready() || static_cast<std::size_t>(ready) <= min_ready_nodes) {
            return;
        }
        if (state.random.below(5) == 0) {
            node.signal(SIGHUP);
            store_.put("op", "config", config_of_test(++config_version_, route_changes()));
            return;
        }
        node.stop();
        if (state.random.below(4) == 0) { // The signal may come twice.
            state.after(state.random_delay(1'000), [&node] { node.signal(SIGTERM); });
        }
    }

    std::filesystem::path folder_;
    fake_row_store store_;
    row_store_server store_server_;
    scripted_server plain_;
    scripted_server model_;
    std::uint64_t config_version_ = 0;
    std::vector<endpoint> ready_nodes_;
    int list_number_ = 0;
    int used_list_number_ = 0;
    std::vector<std::unique_ptr<restarted_node>> nodes_;
    std::vector<std::unique_ptr<keeping_caller>> callers_;
};

std::string joined(const std::vector<std::string>& parts) {
    std::string text;
    for (const std::string& part : parts) {
        text += part + "; ";
    }
    return text;
}

} // namespace

TEST_CASE("the node program stopped under load loses and doubles no request") {
    const std::uint64_t seed = number_from_environment("JUJUBETIDE_SOAK_SEED", 1);
    const std::uint64_t seconds = number_from_environment("JUJUBETIDE_SOAK_SECONDS", 30);
    const std::uint64_t callers =
        number_from_environment("JUJUBETIDE_SOAK_CALLERS", default_caller_count);
    soak_run soak(seed, static_cast<int>(callers));
    CHECK(soak.run(std::chrono::seconds(seconds)));
    const std::vector<micros> times = soak.stop_times();
    REQUIRE_FALSE(times.empty());
    std::cout << "stop soak: seed " << seed << ", " << times.size() << " stops, "
              << times[times.size() / 2].count() / 1'000 << " ms median, "
              << times.back().count() / 1'000 << " ms longest; " << soak.state.server_calls.size()
              << " requests at servers; in transit at a close: " << soak.state.in_transit
              << ", cut at the end of the grace period: " << soak.state.cut_at_end_of_grace;
    for (const auto& [status, count] : soak.state.answers_by_status) {
        std::cout << "; " << status << ": " << count;
    }
    std::cout << "\n";
    INFO("lost: " << joined(soak.state.lost) << "doubled: " << joined(soak.state.doubled));
    CHECK(soak.state.lost.empty());
    CHECK(soak.state.doubled.empty());
    CHECK(soak.all_exited_in_order());
    CHECK(times.back() < grace_period);
    CHECK(times.size() >= seconds / 2);
}
