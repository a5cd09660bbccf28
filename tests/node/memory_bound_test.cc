// The memory of the node program while servers, callers or slow readers make it buffer without end.
#include "node/forward_message.h"
#include "node/peer_heartbeat.h"
#include "node_fixture.h"
#include "node_process.h"
#include "support/endless_server.h"
#include "support/row_store_server.h"

#include "jujubetide/net/tcp_connection.h"
#include "jujubetide/net/udp_socket.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <unistd.h>

using namespace jujubetide;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// What the sanitizer keeps for itself counts as the process's memory.
constexpr bool is_memory_comparable = false;
#else
constexpr bool is_memory_comparable = true;
#endif
constexpr std::size_t call_count = 120;
const std::string own_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Upstream-Signature: s\r\n";

/// A connection to a node that sends bytes and, unless told to read, leaves the answer unread.
class raw_caller final : public connection_events {
public:
    raw_caller(event_loop& loop, const endpoint& node, std::string bytes, bool reads)
        : bytes_(std::move(bytes)), reads_(reads),
          connection_(tcp_connection::connect(loop, node, *this)) {}
    ~raw_caller() override { connection_->reset(); }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    [[nodiscard]] const std::string& received() const { return received_; }

protected:
    void do_connected() override {
        connection_->write(bytes_);
        bytes_ = {};
        if (!reads_) {
            connection_->pause_reading();
        }
    }
    void do_data(std::string_view bytes) override { received_ += bytes; }
    void do_end(connection_end) override {}

private:
    std::string bytes_;
    bool reads_;
    std::string received_;
    std::shared_ptr<tcp_connection> connection_;
};

struct running_call {
    recorded_call events;
    std::unique_ptr<http1_call> call;
};

/// One node program, with servers of the service `plain` that the test adds, and a good server of
/// the service `model`.
class memory_run {
public:
    explicit memory_run(int memory_mb = 260)
        : memory_mb_(memory_mb), folder_(std::filesystem::temp_directory_path() /
                                         ("jujubetide-memory-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(folder_);
        store.put("op", "config",
                  config_of_test(1, {{"often", {{"timeoutMs", 20'000}, {"maxAttempts", 1}}},
                                     {"once", {{"timeoutMs", 20'000}}},
                                     {"resumed", {{"timeoutMs", 20'000}}}}));
        store.put("servers", "i-good", registration_of_test("model", sound.address()));
        node = std::make_unique<node_process>(folder_, 1, store_server.address(), std::nullopt,
                                              memory_mb);
    }
    ~memory_run() {
        node.reset();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    memory_run(const memory_run&) = delete;
    memory_run& operator=(const memory_run&) = delete;

    void add_plain_server(const endpoint& address) {
        store.put("servers", "i-plain", registration_of_test("plain", address));
    }
    void start() {
        node->start();
        REQUIRE(is_answered_in_time("/resumed/"));
    }
    /// Whether a call is answered whole within some seconds, the calls before it aside.
    [[nodiscard]] bool is_answered_in_time(const std::string& path) {
        constexpr int max_tries = 200;
        for (int tries = 0; tries < max_tries; ++tries) {
            if (is_answered(path)) {
                return true;
            }
            run_for(loop, millis{50});
        }
        return false;
    }
    std::unique_ptr<running_call> send(const std::string& path, const header_list& headers = {}) {
        auto made = std::make_unique<running_call>();
        made->call =
            client.call(node->caller_endpoint(), request_of_test(path, headers), {}, made->events);
        return made;
    }
    /// A call that needs little memory, to another service.
    [[nodiscard]] bool is_good_call_answered() { return is_answered("/resumed/"); }
    [[nodiscard]] bool is_answered(const std::string& path) {
        header_list headers;
        headers.add("X-Attempt-Id", "good-" + std::to_string(++good_calls));
        const auto call = send(path, headers);
        return run_until(loop, [&] { return call->events.over(); }) && call->events.whole &&
               call->events.head.status == 200;
    }
    void check_memory() {
        CHECK_FALSE(node->take_exit_code());
        CHECK(node->peak_memory() > 0);
        if (is_memory_comparable) {
            CHECK(node->peak_memory() < static_cast<std::size_t>(memory_mb_) << 20U);
        }
    }

    int good_calls = 0;
    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    http1_client client{loop, time};
    std::unique_ptr<node_process> node;
    row_store_server store_server{loop, time, store};
    scripted_server sound{loop, time, [](scripted_call& call) {
                              begin_events(call);
                              call.exchange->write(event_text(1));
                              call.exchange->finish();
                          }};

private:
    int memory_mb_;
    std::filesystem::path folder_;
};

/// A peer that sends heartbeats to the node, and answers whatever it is asked without end.
class endless_peer {
public:
    explicit endless_peer(memory_run& run) : server_(run.loop, answer_head(), "a") {
        const std::string address = server_.address().str();
        run.store.put(
            "jujubetide-nodes", "p1",
            nlohmann::json{
                {"start", 1}, {"callers", address}, {"peers", address}, {"failure_domain", "z"}}
                .dump());
        beat_.node = node_id("p1");
        beat_.start = incarnation(1);
        beat_.is_ready = true;
        beat_.has_usage_history = true;
        beat_.config_version = 9;
        timer_ = run.loop.every(millis{50}, millis{50}, [this, &run] {
            socket_->send(run.node->peer_endpoint(), encode(beat_));
        });
        socket_ = *udp_socket::make(run.loop, {"127.0.0.1", 0}, [](std::string_view) {});
    }
    [[nodiscard]] std::size_t connections() const { return server_.connections(); }

private:
    static std::string answer_head() {
        header_list headers;
        add_result(headers, forward_result::answered);
        std::string head = own_head;
        for (const auto& [name, value] : headers.fields()) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return head + "\r\n";
    }

    endless_server server_;
    peer_heartbeat beat_;
    std::unique_ptr<udp_socket> socket_;
    std::unique_ptr<timer_subscription> timer_;
};

/// The head of a request of `length` bytes to a route without repeats.
std::string head_of_length(std::size_t length) {
    return "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n"
           "Authorization: Token key\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

std::string repeated(const std::string& text, std::size_t times) {
    std::string all;
    all.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("a node does not run out of memory when one server answers many calls without end") {
    memory_run run;
    endless_server bad(run.loop, own_head + "\r\n", "a");
    run.add_plain_server(bad.address());
    run.start();
    std::vector<std::unique_ptr<running_call>> calls(call_count);
    for (auto& call : calls) {
        call = run.send("/often/");
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(run.is_good_call_answered());
        run_for(run.loop, millis{100});
    }
    CHECK(run_until(run.loop, [&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& one) { return one->events.over(); });
    }));
    CHECK(std::all_of(calls.begin(), calls.end(),
                      [](const auto& one) { return one->events.head.status >= 500; }));
    run.check_memory();
}

TEST_CASE("a node does not run out of memory when many callers send large bodies together") {
    constexpr std::size_t length = std::size_t{3} << 20U;
    memory_run run;
    run.start();
    std::vector<std::unique_ptr<raw_caller>> callers(2 * call_count);
    for (auto& caller : callers) {
        caller = std::make_unique<raw_caller>(run.loop, run.node->caller_endpoint(),
                                              head_of_length(length) + std::string(length - 1, 'b'),
                                              true);
    }
    const auto refused = [&] {
        return std::count_if(callers.begin(), callers.end(), [](const auto& one) {
            return one->received().starts_with("HTTP/1.1 503") &&
                   one->received().find("Retry-After: ") != std::string::npos &&
                   one->received().find("node_memory") != std::string::npos;
        });
    };
    CHECK(run_until(run.loop, [&] { return refused() > static_cast<long>(call_count); }));
    CHECK(run.is_good_call_answered());
    run.check_memory();
    callers.clear();
    run_for(run.loop, millis{300});
    // What these took is free again.
    raw_caller late(run.loop, run.node->caller_endpoint(),
                    head_of_length(length) + std::string(length - 1, 'b'), true);
    run_for(run.loop, millis{500});
    CHECK(late.received().empty());
}

TEST_CASE("a node does not run out of memory when many callers leave large answers unread") {
    memory_run run;
    scripted_server large(run.loop, run.time, [](scripted_call& call) {
        answer(call, 200, std::string(std::size_t{8} << 20U, 'a'));
    });
    run.add_plain_server(large.address());
    run.start();
    std::vector<std::unique_ptr<raw_caller>> callers(call_count / 2);
    for (auto& caller : callers) {
        caller = std::make_unique<raw_caller>(run.loop, run.node->caller_endpoint(),
                                              head_of_length(0), false);
    }
    run_for(run.loop, millis{3'000});
    CHECK(run.is_good_call_answered());
    run.check_memory();
}

TEST_CASE("a few of the largest answers are passed on whole at the same time") {
    memory_run run;
    const std::string body(std::size_t{15} << 20U, 'a');
    scripted_server large(run.loop, run.time,
                          [&](scripted_call& call) { answer(call, 200, body); });
    run.add_plain_server(large.address());
    run.start();
    std::vector<std::unique_ptr<running_call>> calls(4);
    for (auto& call : calls) {
        call = run.send("/often/");
    }
    REQUIRE(run_until(run.loop, [&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& one) { return one->events.over(); });
    }));
    for (const auto& call : calls) {
        CHECK(call->events.head.status == 200);
        CHECK(call->events.body.size() == body.size());
    }
    run.check_memory();
}

TEST_CASE("an answer whose length is too large fails before its body is read") {
    node_fixture fixture;
    const nlohmann::json changes{{"timeoutMs", 20'000}, {"maxAttempts", 1}};
    fixture.start({{"often", changes}});
    // The body never comes.
    endless_server bad(fixture.loop, own_head + "Content-Length: 20000000\r\n\r\n", "");
    fixture.store.put("servers", "i-1", registration_of_test("plain", bad.address()));
    REQUIRE(run_until(fixture.loop, [&] { return fixture.log.count("server_seen") == 1; }));
    const time_point began = fixture.time.now();
    const recorded_call got = fixture.call("/often/");
    CHECK(fixture.time.now() - began < millis{5'000});
    CHECK(got.head.status == 502);
    CHECK(fixture.log.count("answer_too_large") == 1);
}

TEST_CASE(
    "a node does not run out of memory when callers pipeline requests while one is answered") {
    constexpr int memory_mb = 40;
    constexpr std::size_t caller_count = 400;
    memory_run run(memory_mb);
    scripted_server silent(run.loop, run.time, [](scripted_call&) {});
    run.add_plain_server(silent.address());
    run.start();
    std::string bytes;
    while (bytes.size() < 200'000) {
        bytes += head_of_length(0);
    }
    std::vector<std::unique_ptr<raw_caller>> callers(caller_count);
    for (auto& caller : callers) {
        caller = std::make_unique<raw_caller>(run.loop, run.node->caller_endpoint(), bytes, true);
    }
    run_for(run.loop, millis{3'000});
    CHECK(run.is_good_call_answered());
    run.check_memory();
    run.node.reset();
    // The server's calls, which it never answers, end with their connections.
    run_for(run.loop, millis{300});
}

TEST_CASE("a node does not run out of memory when the store answers with too much") {
    const auto [name, body] = GENERATE(table<std::string, std::string>({
        {"bytes", std::string(std::size_t{40} << 20U, 'a')},
        {"values", R"({"ver":1,"rows":[)" + repeated("0,", std::size_t{7} << 20U) + "0]}"},
        {"empty objects", R"({"ver":1,"rows":[)" + repeated("{},", std::size_t{5} << 20U) + "{}]}"},
    }));
    INFO(name);
    memory_run run;
    run.start();
    run.store_server.answer_with(body);
    for (int i = 0; i < 10; ++i) {
        run_for(run.loop, millis{200});
        CHECK(run.is_good_call_answered());
    }
    run.check_memory();
    run.store_server.answer_with("");
    // The node reads the store again.
    run.store.put("servers", "i-late", registration_of_test("plain", run.sound.address()));
    CHECK(run.is_answered_in_time("/often/"));
}

TEST_CASE("a node does not run out of memory when a peer answers without end") {
    memory_run run;
    // Nothing listens there: the node sends its calls through the peer.
    run.add_plain_server({"127.0.0.1", 1});
    run.start();
    const endless_peer peer(run);
    run.sound.crash();
    for (int i = 0; i < 100 && peer.connections() == 0; ++i) {
        const auto call = run.send("/often/");
        run_until(run.loop, [&] { return call->events.over(); });
        run_for(run.loop, millis{50});
    }
    REQUIRE(peer.connections() > 0);
    std::vector<std::unique_ptr<running_call>> calls(call_count);
    for (auto& call : calls) {
        call = run.send("/often/");
    }
    CHECK(run_until(run.loop, [&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& one) { return one->events.over(); });
    }));
    CHECK(std::all_of(calls.begin(), calls.end(),
                      [](const auto& one) { return one->events.head.status >= 500; }));
    CHECK(peer.connections() >= call_count);
    run.check_memory();
}
