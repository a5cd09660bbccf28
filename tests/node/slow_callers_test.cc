// Callers that read long answers slowly while the node program that sends them is stopped.
#include "node_fixture.h"
#include "node_process.h"
#include "support/row_store_server.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jujubetide;

namespace {

constexpr std::size_t answer_bytes = std::size_t{14} << 20U;
/// Of each caller, from its request on.
constexpr std::size_t bytes_per_second = std::size_t{9} << 18U;
constexpr millis read_period{25};
/// A small window, so that most of an answer waits in the node, but one of several read periods, so
/// that a late timer does not lower a caller's rate.
constexpr int receive_buffer_bytes = 256 << 10;
constexpr millis max_start_time{10'000};
/// `gracePeriodS` of the settings of `node_process`.
constexpr micros grace_period{8'000'000};

/// Sends one request at once and reads its answer at a limited rate, making up for late reads.
class slow_caller {
public:
    slow_caller(event_loop& loop, const jujubetide::clock& time, const endpoint& node,
                const std::string& request)
        : time_(time), began_(time.now()), socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                     sizeof receive_buffer_bytes);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(node.port);
        ::inet_pton(AF_INET, node.address.c_str(), &address.sin_addr);
        REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
                0);
        REQUIRE(::send(socket_, request.data(), request.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(request.size()));
        reading_ = loop.every(read_period, read_period, [this] { read(); });
    }
    ~slow_caller() { ::close(socket_); }
    slow_caller(const slow_caller&) = delete;
    slow_caller& operator=(const slow_caller&) = delete;

    [[nodiscard]] bool has_begun() const { return received_ > 0; }
    [[nodiscard]] bool has_ended() const { return has_ended_; }
    /// Bytes of the answer with its head.
    [[nodiscard]] std::size_t received() const { return received_; }

private:
    /// Bytes that the rate allows to have received by now.
    [[nodiscard]] std::size_t allowed_bytes() const {
        const auto elapsed = static_cast<std::size_t>((time_.now() - began_).count());
        return elapsed * bytes_per_second / std::micro::den;
    }
    void read() {
        const std::size_t allowed = allowed_bytes();
        if (has_ended_ || allowed <= received_) {
            return;
        }
        const ssize_t count = ::recv(socket_, buffer_.data(),
                                     std::min(buffer_.size(), allowed - received_), MSG_DONTWAIT);
        if (count < 0 && errno == EAGAIN) {
            return;
        }
        has_ended_ = count <= 0;
        received_ += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }

    const jujubetide::clock& time_;
    time_point began_;
    int socket_;
    std::string buffer_ = std::string(receive_buffer_bytes, '\0');
    std::size_t received_ = 0;
    bool has_ended_ = false;
    std::unique_ptr<timer_subscription> reading_;
};

std::filesystem::path make_folder() {
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("jujubetide-slow-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    return folder;
}

/// One node program, its store, and a server with long answers.
struct slow_callers_fixture {
    slow_callers_fixture() {
        const nlohmann::json changes{{"timeoutMs", 20'000}, {"targetLatencyMs", 5'000}};
        store.put("op", "config", config_of_test(1, {{"often", changes}}));
        store.put("servers", "i-1", registration_of_test("plain", server.address()));
        node.start();
    }
    ~slow_callers_fixture() {
        callers.clear();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder, ignored);
    }
    slow_callers_fixture(const slow_callers_fixture&) = delete;
    slow_callers_fixture& operator=(const slow_callers_fixture&) = delete;

    void wait_until_served() {
        const time_point began = time.now();
        while (!is_served()) {
            REQUIRE(time.now() - began < max_start_time);
            run_for(loop, millis{50});
        }
    }
    /// Whether the node has answered a short call.
    bool is_served() {
        recorded_call events;
        call_options options;
        options.max_idle = micros{0};
        options.timeout = millis{1'000};
        const auto running = client.call(node.caller_endpoint(), request("ready"), options, events);
        run_until(loop, [&] { return events.over(); });
        return events.head.status == 200;
    }
    static std::string request(const std::string& id) {
        header_list headers;
        headers.add("Host", "h.example");
        headers.add("X-Attempt-Id", id);
        headers.add("Authorization", "Token key");
        return serialize_request("POST", "/often/", headers, "body");
    }
    void add_caller() {
        const std::string id = "slow-" + std::to_string(callers.size());
        callers.push_back(
            std::make_unique<slow_caller>(loop, time, node.caller_endpoint(), request(id)));
    }
    [[nodiscard]] bool have_all(bool (slow_caller::*state)() const) const {
        return std::all_of(callers.begin(), callers.end(),
                           [state](const auto& caller) { return (*caller.*state)(); });
    }

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    row_store_server store_server{loop, time, store};
    http1_client client{loop, time};
    scripted_server server{loop, time, [](scripted_call& call) {
                               const bool is_long =
                                   call.head.headers.find("X-Attempt-Id") != "ready";
                               answer(call, 200, std::string(is_long ? answer_bytes : 2, 'a'));
                           }};
    std::filesystem::path folder = make_folder();
    node_process node{folder, 1, store_server.address()};
    std::vector<std::unique_ptr<slow_caller>> callers;
};

} // namespace

TEST_CASE("answers that callers still read slowly are sent whole by a node program that stops") {
    slow_callers_fixture fixture;
    fixture.wait_until_served();
    fixture.add_caller();
    fixture.add_caller();
    REQUIRE(run_until(fixture.loop, [&] { return fixture.have_all(&slow_caller::has_begun); }));
    fixture.node.signal(SIGTERM);
    const time_point stop_began = fixture.time.now();
    // Their answers end their connections.
    fixture.add_caller();
    fixture.add_caller();
    REQUIRE(run_until(
        fixture.loop, [&] { return fixture.have_all(&slow_caller::has_ended); }, grace_period));
    for (const auto& caller : fixture.callers) {
        CHECK(caller->received() > answer_bytes);
    }
    std::optional<int> exit_code;
    REQUIRE(run_until(fixture.loop, [&] {
        exit_code = fixture.node.take_exit_code();
        return exit_code.has_value();
    }));
    CHECK(*exit_code == 0);
    CHECK(fixture.time.now() - stop_began < grace_period);
}
