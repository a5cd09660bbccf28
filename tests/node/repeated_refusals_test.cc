// Servers that write an earlier refusal once more on a kept connection, before they answer.
#include "node_process.h"
#include "refusals_fixture.h"
#include "support/row_store_server.h"

#include <absl/strings/numbers.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <unistd.h>

using namespace jujubetide;

TEST_CASE("an earlier refusal without an id that is repeated is not taken for a call's answer") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    server.set_named(false);
    server.refuse_next(1);
    (void)fixture.call_as("id-1", "/once/"); // Leaves a connection that has carried a refusal.
    server.run_next();
    CHECK(fixture.call_as("id-2", "/once/").head.status == 200);
    server.repeat_before_next();
    const recorded_call got = fixture.call_as("id-3", "/once/");
    run_for(fixture.loop, millis{50});
    INFO("status " << got.head.status << ", runs " << server.runs("id-3"));
    CHECK_FALSE((promises_not_run(got.head.status) && server.runs("id-3") > 0));
    CHECK(server.runs("id-3") <= 1);
}

TEST_CASE("an earlier refusal of an engine that is repeated is not taken for a stream's answer") {
    refusals_fixture fixture;
    repeating_server& engine = fixture.add("i-1", "model");
    engine.set_named(false);
    engine.refuse_next(1);
    (void)fixture.call_as("id-1", "/stream/");
    (void)fixture.call_as("id-2", "/stream/");
    engine.repeat_before_next();
    const recorded_call got = fixture.call_as("id-3", "/stream/");
    run_for(fixture.loop, millis{50});
    INFO("status " << got.head.status << ", runs " << engine.runs("id-3"));
    CHECK_FALSE((promises_not_run(got.head.status) && engine.runs("id-3") > 0));
}

TEST_CASE("an earlier refusal without an id that is repeated sends no call to a second server") {
    refusals_fixture fixture;
    repeating_server& one = fixture.add("i-1");
    repeating_server& other = fixture.add("i-2");
    for (repeating_server* server : {&one, &other}) {
        server->set_named(false);
        server->refuse_next(1);
    }
    (void)fixture.call_as("id-1", "/often/");
    for (int i = 2; i < 10; ++i) {
        one.repeat_before_next();
        other.repeat_before_next();
        const std::string id = "id-" + std::to_string(i);
        const recorded_call got = fixture.call_as(id, "/once/");
        run_for(fixture.loop, millis{30});
        const int runs = one.runs(id) + other.runs(id);
        INFO(id << ": status " << got.head.status << ", runs " << runs);
        CHECK(runs <= 1);
        CHECK_FALSE((promises_not_run(got.head.status) && runs > 0));
    }
}

TEST_CASE("a refusal that is repeated for the same attempt is not believed") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    server.refuse_next(1);
    server.repeat_after_refusal();
    const recorded_call got = fixture.call_as("id-1", "/once/");
    run_for(fixture.loop, millis{50});
    INFO("status " << got.head.status << ", runs " << server.runs("id-1"));
    CHECK(server.runs("id-1") <= 1);
    CHECK_FALSE((promises_not_run(got.head.status) && server.runs("id-1") > 0));
}

namespace {

/// The beginnings of refusals of another attempt that end before its id.
std::vector<std::string> cut_refusals() {
    std::vector<std::string> cut;
    for (const std::string head :
         {"HTTP/1.1 421 Misdirected Request\r\nRetry-After: 0.100\r\n",
          "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: 0.100\r\n"}) {
        for (std::size_t length = 1; length <= head.size(); ++length) {
            cut.push_back(head.substr(0, length));
        }
    }
    return cut;
}

} // namespace

TEST_CASE("a part of an earlier refusal is not taken for the head of a call's answer") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    int number = 0;
    for (const std::string& part : cut_refusals()) {
        (void)fixture.call_as("first", "/once/"); // Leaves a connection.
        server.write_before_next(part);
        const std::string id = "id-" + std::to_string(++number);
        const recorded_call got = fixture.call_as(id, "/once/");
        INFO(part << ": status " << got.head.status << ", runs " << server.runs(id));
        CHECK_FALSE((promises_not_run(got.head.status) && server.runs(id) > 0));
    }
}

TEST_CASE("a part of an earlier refusal sends no call that runs to a second server") {
    refusals_fixture fixture;
    repeating_server& one = fixture.add("i-1");
    repeating_server& other = fixture.add("i-2");
    int number = 0;
    for (const std::string& part : cut_refusals()) {
        (void)fixture.call_as("first", "/once/");
        one.write_before_next(part);
        other.write_before_next(part);
        const std::string id = "id-" + std::to_string(++number);
        const recorded_call got = fixture.call_as(id, "/once/");
        const int runs = one.runs(id) + other.runs(id);
        INFO(part << ": status " << got.head.status << ", runs " << runs);
        CHECK(runs <= 1);
    }
}

TEST_CASE("a part of an earlier answer does not turn a failure into a success") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    const std::string head = "HTTP/1.1 200 Status\r\nX-Upstream-Signature: s\r\n";
    for (std::size_t length = 1; length <= head.size(); ++length) {
        server.set_status(200);
        (void)fixture.call_as("first", "/once/");
        server.set_status(500);
        server.write_before_next(head.substr(0, length));
        const recorded_call got = fixture.call_as("id-1", "/once/");
        INFO(head.substr(0, length) << ": status " << got.head.status);
        CHECK(got.head.status != 200);
    }
}

TEST_CASE("an earlier refusal that names its own attempt is skipped") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    server.refuse_next(1);
    (void)fixture.call_as("id-1", "/once/");
    server.repeat_before_next();
    const recorded_call got = fixture.call_as("id-2", "/once/");
    CHECK(got.head.status == 200);
    CHECK(server.runs("id-2") == 1);
    const auto line = std::find_if(fixture.log.lines.begin(), fixture.log.lines.end(),
                                   [](auto& l) { return l.name == "foreign_answer_skipped"; });
    REQUIRE(line != fixture.log.lines.end());
    CHECK(line->fields.at("id") == "id-2");
    CHECK(line->fields.at("other") == "id-1");
    CHECK(line->fields.at("refusal") == "yes");
}

TEST_CASE("a connection on which an answer to an earlier call came late carries no further call") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    server.refuse_next(1);
    (void)fixture.call_as("id-1", "/once/");
    server.repeat_before_next();
    CHECK(fixture.call_as("id-2", "/once/").head.status == 200);
    REQUIRE(server.connections() == 1);
    CHECK(fixture.call_as("id-3", "/once/").head.status == 200);
    CHECK(server.connections() == 2);
}

TEST_CASE("the log line of an attempt names its connection and the calls that it carried before") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1");
    server.refuse_next(2);
    (void)fixture.call_as("id-1", "/once/");
    (void)fixture.call_as("id-2", "/once/");
    std::vector<std::map<std::string, std::string>> attempts;
    for (const recorded_log::line& line : fixture.log.lines) {
        if (line.name == "attempt_over") {
            attempts.push_back(line.fields);
        }
    }
    REQUIRE(attempts.size() == 2);
    CHECK(attempts[0].at("earlier_calls") == "0");
    CHECK(attempts[1].at("earlier_calls") == "1");
    CHECK(attempts[1].at("connection") == attempts[0].at("connection"));
    CHECK(attempts[1].at("address") == server.address().str());
}

namespace {

std::uint64_t soak_number(const char* name, std::uint64_t default_value) {
    const char* const text = std::getenv(name);
    std::uint64_t number = 0;
    return text != nullptr && absl::SimpleAtoi(text, &number) ? number : default_value;
}

/// Node programs that are suspended at random, before servers that refuse and repeat at random.
class suspension_soak {
public:
    explicit suspension_soak(std::uint64_t seed) : random_(seed) {
        std::filesystem::create_directories(folder_);
        store_.put(
            "op", "config",
            config_of_test(1, {{"once", {{"maxAttempts", 3}}}, {"often", {{"maxAttempts", 3}}}}));
        for (int i = 1; i <= server_count; ++i) {
            servers_.push_back(std::make_unique<repeating_server>(loop_));
            store_.put("servers", "i-" + std::to_string(i),
                       registration_of_test("plain", servers_.back()->address()));
        }
        for (int i = 1; i <= node_count; ++i) {
            nodes_.push_back(std::make_unique<node_process>(folder_, i, store_server_.address()));
            nodes_.back()->start();
        }
    }
    ~suspension_soak() {
        calls_.clear();
        nodes_.clear();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    suspension_soak(const suspension_soak&) = delete;
    suspension_soak& operator=(const suspension_soak&) = delete;

    void run(micros duration) {
        run_for(loop_, millis{1'000});
        const auto sending = loop_.every(millis{8}, millis{8}, [this] { send(); });
        const auto refusing = loop_.every(millis{40}, millis{40}, [this] {
            repeating_server& server = *servers_[random_.below(servers_.size())];
            server.set_named(random_.below(2) == 0);
            server.refuse_next(static_cast<int>(random_.below(3)));
            server.repeat_before_next();
        });
        const auto suspending = loop_.every(millis{500}, millis{500}, [this] { suspend_one(); });
        run_for(loop_, duration);
        for (const auto& node : nodes_) {
            node->signal(SIGCONT);
        }
        run_for(loop_, millis{2'500});
    }
    [[nodiscard]] std::string broken_promises() const {
        std::string text;
        for (const auto& [id, sent] : calls_) {
            const int runs = runs_of(id);
            const bool is_promised =
                sent->events.whole && promises_not_run(sent->events.head.status);
            if ((sent->runs_once && runs > 1) || (is_promised && runs > 0)) {
                text += id + ": status " + std::to_string(sent->events.head.status) + ", runs " +
                        std::to_string(runs) + "; ";
            }
        }
        return text;
    }
    [[nodiscard]] std::map<int, int> answers() const {
        std::map<int, int> by_status;
        for (const auto& [id, sent] : calls_) {
            ++by_status[sent->events.whole ? sent->events.head.status : 0];
        }
        return by_status;
    }

private:
    static constexpr int node_count = 3;
    static constexpr int server_count = 3;

    struct sent_call {
        bool runs_once = false;
        recorded_call events;
        std::unique_ptr<http1_call> call;
    };

    void send() {
        const std::string id = "id-" + std::to_string(calls_.size());
        auto sent = std::make_unique<sent_call>();
        sent->runs_once = random_.below(4) != 0;
        const endpoint node = nodes_[random_.below(nodes_.size())]->caller_endpoint();
        sent->call = client_.call(node, named_request(id, sent->runs_once ? "/once/" : "/often/"),
                                  {}, sent->events);
        calls_[id] = std::move(sent);
    }
    void suspend_one() {
        node_process& node = *nodes_[random_.below(nodes_.size())];
        node.signal(SIGSTOP);
        timers_.push_back(
            loop_.once(millis(100 + random_.below(1'400)), [&node] { node.signal(SIGCONT); }));
    }
    [[nodiscard]] int runs_of(const std::string& id) const {
        int runs = 0;
        for (const auto& server : servers_) {
            runs += server->runs(id);
        }
        return runs;
    }

    event_loop loop_;
    boot_clock time_;
    seeded_random random_;
    std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                    ("jujubetide-suspension-" + std::to_string(::getpid()));
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    http1_client client_{loop_, time_};
    std::vector<std::unique_ptr<repeating_server>> servers_;
    std::vector<std::unique_ptr<node_process>> nodes_;
    std::map<std::string, std::unique_ptr<sent_call>> calls_;
    std::vector<std::unique_ptr<timer_subscription>> timers_;
};

} // namespace

TEST_CASE("suspended node programs run no refused call and none twice, whatever servers repeat") {
    suspension_soak soak(soak_number("JUJUBETIDE_SOAK_SEED", 1));
    soak.run(std::chrono::seconds(soak_number("JUJUBETIDE_SOAK_SECONDS", 8)));
    for (const auto& [status, count] : soak.answers()) {
        std::cout << "suspension soak: " << count << " answers " << status << "\n";
    }
    INFO(soak.broken_promises());
    CHECK(soak.broken_promises().empty());
    CHECK(soak.answers()[200] > 0);
}

namespace {

/// A node program before one server, which has served a call on a connection that is kept.
class suspended_program {
public:
    suspended_program() {
        std::filesystem::create_directories(folder_);
        store_.put("op", "config", config_of_test(1, nlohmann::json::object()));
        store_.put("servers", "i-1", registration_of_test("plain", server_.address()));
        node_.emplace(folder_, 1, store_server_.address());
        node_->start();
        constexpr int most = 500;
        for (int i = 0; i < most && server_.runs("first") == 0; ++i) {
            (void)finish(*send("first"));
            run_for(loop_, millis{20});
        }
        REQUIRE(server_.runs("first") == 1);
    }
    ~suspended_program() {
        node_.reset();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    suspended_program(const suspended_program&) = delete;
    suspended_program& operator=(const suspended_program&) = delete;

    /// The status of a call that the node reads after a suspension, in which the server has written
    /// `bytes` that belong to no call.
    int call_after(const std::string& id, const std::string& bytes) {
        node_->signal(SIGSTOP);
        run_for(loop_, millis{20});
        const std::unique_ptr<sent_call> sent = send(id);
        run_for(loop_, millis{50});
        server_.write_unasked(bytes);
        run_for(loop_, millis{50});
        node_->signal(SIGCONT);
        return finish(*sent);
    }
    [[nodiscard]] int runs(const std::string& id) const { return server_.runs(id); }

private:
    struct sent_call {
        recorded_call events;
        std::unique_ptr<http1_call> call;
    };

    std::unique_ptr<sent_call> send(const std::string& id) {
        auto sent = std::make_unique<sent_call>();
        sent->call =
            client_.call(node_->caller_endpoint(), named_request(id, "/once/"), {}, sent->events);
        return sent;
    }
    int finish(const sent_call& sent) {
        run_until(loop_, [&sent] { return sent.events.over(); });
        return sent.events.whole ? sent.events.head.status : 0;
    }

    event_loop loop_;
    boot_clock time_;
    std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                    ("jujubetide-suspended-" + std::to_string(::getpid()));
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    http1_client client_{loop_, time_};
    repeating_server server_{loop_};
    std::optional<node_process> node_;
};

} // namespace

TEST_CASE("bytes that came before a node program's request are no part of its answer") {
    for (const std::string bytes :
         {"HTTP/1.1 421 Misdirected", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1"}) {
        suspended_program program;
        const int status = program.call_after("id-1", bytes);
        INFO(bytes << ": status " << status << ", runs " << program.runs("id-1"));
        CHECK_FALSE((promises_not_run(status) && program.runs("id-1") > 0));
    }
}

TEST_CASE("a success that denies that it has run is not refused and goes to no second server") {
    const std::string path = GENERATE("/once/", "/stream/");
    const nlohmann::json twice = {{"maxAttempts", 2}};
    refusals_fixture fixture({{"once", twice}, {"stream", twice}});
    const bool is_plain = path == "/once/";
    const std::string events = serialize_chunk("id: 1\ndata: x\n\n") + std::string(last_chunk);
    const std::string answer =
        is_plain ? "Content-Length: 2\r\n\r\nok" : "Transfer-Encoding: chunked\r\n\r\n" + events;
    int runs = 0;
    for (const char* id : {"i-1", "i-2"}) {
        fixture.add(id, is_plain ? "plain" : "model").answer_with([&](const request_head&, int) {
            ++runs;
            return "X-Not-Executed: 1\r\n" + answer;
        });
    }
    const recorded_call got = fixture.call_as("id-1", path);
    INFO(path << ": status " << got.head.status << ", body " << got.body);
    CHECK(runs == 1);
    CHECK_FALSE((got.whole && promises_not_run(got.head.status)));
}
