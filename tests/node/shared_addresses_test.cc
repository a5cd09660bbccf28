// Servers that write an answer once more for the attempt that it names: two server ids share their
// address, or the caller uses an id for two requests.
#include "cluster_member.h"
#include "node/forward_message.h"
#include "node_process.h"
#include "refusals_fixture.h"
#include "support/row_store_server.h"

#include <catch2/catch.hpp>

#include <array>
#include <filesystem>
#include <optional>
#include <unistd.h>

using namespace jujubetide;

namespace {

constexpr int not_run_status = 503;
constexpr int wrong_server_status = 421;
/// How long a call runs that keeps a server less free than the others.
constexpr millis held_time{1'800};

std::string service_of(const std::string& path) {
    return path == "/once/" || path == "/often/" ? "plain" : "model";
}

/// An answer with `events`, chunked.
std::string stream_of(const std::string& events) {
    return "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
           serialize_chunk(events) + std::string(last_chunk);
}

std::string plain_of(const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A whole answer that names its run.
std::string answer_of(const request_head& head, int run) {
    const std::string text = "run " + std::to_string(run);
    return service_of(head.target) == "plain" ? plain_of(text)
                                              : stream_of("id: 1\ndata: " + text + "\n\n");
}

/// What one call shows of a server that repeats refusals for its attempt.
struct shared_address_case {
    std::string path;
    body_framing framing = body_framing::length;
    int status = not_run_status;
    int max_attempts = 1;
    bool has_other = false;

    [[nodiscard]] std::string text() const {
        return path + (framing == body_framing::chunked ? " chunked" : "") + ", status " +
               std::to_string(status) + ", attempts " + std::to_string(max_attempts) +
               (has_other ? ", another server" : "");
    }
};

nlohmann::json attempts_of(int max_attempts) {
    const nlohmann::json change = {{"maxAttempts", max_attempts}};
    return {{"once", change}, {"often", change}, {"stream", change}};
}

/// A node, a server that is registered with two ids at one address, and maybe another server that
/// is less free.
struct shared_address_fixture : refusals_fixture {
    explicit shared_address_fixture(const shared_address_case& played)
        : refusals_fixture(attempts_of(played.max_attempts)), played_case(played) {
        const std::string service = service_of(played.path);
        if (played.has_other) {
            other = &add("i-3", service);
            other->answer_with(answer_of);
            other->set_run_time(held_time);
            held = send_as("held", played.path, held_events);
            REQUIRE(run_until(loop, [this] { return other->runs("held") == 1; }));
            other->set_run_time(millis{10});
        }
        server = &add("i-1", service);
        server->answer_with(answer_of);
        register_at(server->address(), "i-2", service);
        // The id that the node chooses first is the one of a server that has gone.
        CHECK(call_as("first", played.path).head.status == 200);
        if (played.status == wrong_server_status) {
            server->set_id(server->last_expected() == "i-1" ? "i-2" : "i-1");
        } else {
            server->refuse_next(1);
        }
        server->repeat_after_refusal();
    }
    /// The status that a call gets; its runs are counted after its end.
    int call() {
        const recorded_call got = call_as("id-1", played_case.path, played_case.framing);
        run_for(loop, millis{50});
        return got.whole ? got.head.status : 0;
    }
    [[nodiscard]] int runs() const {
        return server->runs("id-1") + (other != nullptr ? other->runs("id-1") : 0);
    }

    shared_address_case played_case;
    repeating_server* other = nullptr;
    repeating_server* server = nullptr;
    recorded_call held_events;
    std::unique_ptr<http1_call> held;
};

/// Calls that may run once.
std::vector<shared_address_case> cases_of(int status, int max_attempts, bool has_other) {
    return {{"/once/", body_framing::length, status, max_attempts, has_other},
            {"/stream/", body_framing::chunked, status, max_attempts, has_other}};
}

void check_promises(const std::vector<shared_address_case>& cases) {
    for (const shared_address_case& played : cases) {
        shared_address_fixture fixture(played);
        const int status = fixture.call();
        const int runs = fixture.runs();
        INFO(played.text() << ": status " << status << ", runs " << runs);
        CHECK_FALSE((promises_not_run(status) && runs > 0));
        CHECK(runs <= 1);
    }
}

} // namespace

TEST_CASE("a copy of a 503 at an address of two servers refuses no call that runs") {
    check_promises(cases_of(not_run_status, 2, false));
}

TEST_CASE("a copy of a 503 at an address of two servers refuses no call that others could run") {
    check_promises(cases_of(not_run_status, 2, true));
}

TEST_CASE("a copy of a 503 at an address of two servers refuses no call of one attempt") {
    check_promises(cases_of(not_run_status, 1, false));
    check_promises(cases_of(not_run_status, 1, true));
}

TEST_CASE("a copy of a 421 at an address of two servers refuses no call that runs") {
    check_promises(cases_of(wrong_server_status, 1, false));
    check_promises(cases_of(wrong_server_status, 2, false));
}

TEST_CASE("a copy of a 421 at an address of two servers sends no call that runs to a third") {
    check_promises(cases_of(wrong_server_status, 1, true));
    check_promises(cases_of(wrong_server_status, 2, true));
}

TEST_CASE("a copy of a refusal on another connection of its server refuses no call that runs") {
    const int status = GENERATE(not_run_status, wrong_server_status);
    refusals_fixture fixture(attempts_of(2));
    repeating_server& server = fixture.add("i-1");
    fixture.register_at(server.address(), "i-2", "plain");
    // Two calls at a time leave two connections that have served.
    std::array<recorded_call, 2> events;
    const auto one = fixture.send_as("one", "/once/", events[0]);
    const auto two = fixture.send_as("two", "/once/", events[1]);
    REQUIRE(run_until(fixture.loop, [&] { return events[0].over() && events[1].over(); }));
    CHECK(fixture.call_as("first", "/once/").head.status == 200);
    REQUIRE(server.connections() == 2);
    if (status == wrong_server_status) {
        // The id that the node chooses first is the one of a server that has gone.
        server.set_id(server.last_expected() == "i-1" ? "i-2" : "i-1");
    } else {
        server.refuse_next(1);
    }
    server.repeat_after_refusal();
    const recorded_call got = fixture.call_as("id-1", "/once/");
    run_for(fixture.loop, millis{50});
    REQUIRE(fixture.log.count("attempt_over") > 0);
    INFO("after " << status << ": status " << got.head.status << ", runs " << server.runs("id-1"));
    CHECK_FALSE((promises_not_run(got.head.status) && server.runs("id-1") > 0));
    CHECK(server.runs("id-1") <= 1);
}

TEST_CASE("a copy of a refusal for an id that its caller uses again refuses no call that runs") {
    const std::string path = GENERATE("/once/", "/stream/");
    const int status = GENERATE(not_run_status, wrong_server_status);
    const body_framing framing = path == "/stream/" ? body_framing::chunked : body_framing::length;
    refusals_fixture fixture(attempts_of(1));
    repeating_server& server = fixture.add("i-1", service_of(path));
    server.answer_with(answer_of);
    if (status == wrong_server_status) {
        server.set_id("i-2");
    } else {
        server.refuse_next(1);
    }
    CHECK(fixture.call_as("id-1", path, framing).head.status == 503);
    server.set_id("");
    server.repeat_before_next();
    const recorded_call got = fixture.call_as("id-1", path, framing);
    run_for(fixture.loop, millis{50});
    INFO(path << " after " << status << ": status " << got.head.status << ", runs "
              << server.runs("id-1"));
    CHECK_FALSE((promises_not_run(got.head.status) && server.runs("id-1") > 0));
    CHECK(server.runs("id-1") <= 1);
}

TEST_CASE("a copy of an answer for an id that its caller uses again is not the next call's") {
    const std::string path = GENERATE("/once/", "/often/", "/stream/");
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1", service_of(path));
    server.answer_with(answer_of);
    CHECK(fixture.call_as("id-1", path).head.status == 200);
    server.repeat_answer_before_next();
    const recorded_call got = fixture.call_as("id-1", path);
    run_for(fixture.loop, millis{50});
    INFO(path << ": status " << got.head.status << ", body " << got.body);
    CHECK(got.body.find("run 1") == std::string::npos);
}

TEST_CASE("a resumed stream takes no copy of the answer before it") {
    refusals_fixture fixture;
    repeating_server& server = fixture.add("i-1", "model");
    fixture.register_at(server.address(), "i-2", "model");
    server.answer_with([](const request_head& head, int) {
        const bool is_resumption = head.headers.has("Last-Event-Id");
        // The first answer ends in the middle of an event.
        return stream_of(is_resumption ? event_text(3) + event_text(4)
                                       : event_text(1) + event_text(2) + "id: 3\nda");
    });
    server.repeat_answer_before_next();
    const recorded_call got = fixture.call_as("id-1", "/resumed/");
    INFO("runs " << server.runs("id-1") << ", body " << got.body);
    CHECK(got.head.status == 200);
    const std::string all = event_text(1) + event_text(2) + event_text(3) + event_text(4);
    CHECK(got.body == all.substr(0, got.body.size()));
    CHECK((got.body == all || !got.whole));
}

namespace {

/// A node that passes attempts on for the test to a server with two ids.
struct shared_forwarder_fixture {
    shared_forwarder_fixture() {
        store.put("op", "config", config_of_test(1, nlohmann::json::object()));
        for (const char* id : {"i-1", "i-2"}) {
            store.put("servers", id, registration_of_test("plain", server.address()));
        }
        REQUIRE(run_until(loop, [&] { return member.log.count("server_seen") == 2; }));
    }
    recorded_call forward(const std::string& id) {
        header_list fields;
        fields.add("Host", "h.example");
        fields.add("X-Attempt-Id", "id-1");
        fields.add("X-Expect-Instance", id);
        const std::string attempt = serialize_request("POST", "/once/", fields, "body");
        const header_list order = to_headers({backend_server_id(id), "id-1", millis{1'000}});
        recorded_call events;
        const auto running =
            client.call({"127.0.0.1", own_port(0)},
                        serialize_request("POST", forward_path, order, attempt), {}, events);
        REQUIRE(run_until(loop, [&] { return events.over(); }));
        return events;
    }

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    repeating_server server{loop};
    cluster_member member{loop, time, store, 0};
    http1_client client{loop, time};
};

} // namespace

TEST_CASE("a peer passes on no copy of a refusal for an attempt that runs") {
    const int status = GENERATE(not_run_status, wrong_server_status);
    shared_forwarder_fixture fixture;
    if (status == wrong_server_status) {
        fixture.server.set_id("i-2");
    } else {
        fixture.server.refuse_next(1);
    }
    fixture.server.repeat_after_refusal();
    CHECK(fixture.forward("i-1").head.status == status);
    const recorded_call got = fixture.forward("i-2");
    run_for(fixture.loop, millis{50});
    const auto result = read_result(got.head.headers);
    INFO("after " << status << ": status " << got.head.status << ", runs "
                  << fixture.server.runs("id-1"));
    const bool is_promised =
        result == forward_result::not_sent ||
        (result == forward_result::answered && promises_not_run(got.head.status));
    CHECK_FALSE((is_promised && fixture.server.runs("id-1") > 0));
}

namespace {

/// A node program before a server with two ids at one address, and maybe another server that is
/// less free.
class shared_address_program {
public:
    shared_address_program(std::string path, bool has_other) : path_(std::move(path)) {
        std::filesystem::create_directories(folder_);
        store_.put("op", "config", config_of_test(1, attempts_of(1)));
        shared_.answer_with(answer_of);
        node_.emplace(folder_, 1, store_server_.address());
        node_->start();
        if (has_other) {
            add_other();
        }
        for (const char* id : {"i-1", "i-2"}) {
            store_.put("servers", id, registration_of_test(service_of(path_), shared_.address()));
        }
        call_until([this] { return !shared_.last_expected().empty(); });
        run_for(loop_, millis{200});
    }
    ~shared_address_program() {
        node_.reset();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    shared_address_program(const shared_address_program&) = delete;
    shared_address_program& operator=(const shared_address_program&) = delete;

    /// Describes a call that ran twice, or was refused and ran.
    std::string broken_promise(const std::string& id) {
        shared_.set_id("");
        (void)call("first");
        // The id that the node chooses first is the one of a server that has gone.
        shared_.set_id(shared_.last_expected() == "i-1" ? "i-2" : "i-1");
        shared_.repeat_after_refusal();
        const int status = call(id);
        run_for(loop_, millis{50});
        const int runs = shared_.runs(id) + other_.runs(id);
        const std::string text =
            id + ": status " + std::to_string(status) + ", runs " + std::to_string(runs) + "; ";
        return runs > 1 || (promises_not_run(status) && runs > 0) ? text : "";
    }

private:
    /// Adds the other server and a call that runs there for longer than the test's calls.
    void add_other() {
        other_.answer_with(answer_of);
        store_.put("servers", "i-3", registration_of_test(service_of(path_), other_.address()));
        call_until([this] { return !other_.last_expected().empty(); });
        other_.set_run_time(held_time);
        held_ = send("held", held_events_);
        REQUIRE(run_until(loop_, [this] { return other_.runs("held") == 1; }));
        other_.set_run_time(millis{10});
    }
    std::unique_ptr<http1_call> send(const std::string& id, recorded_call& events) {
        return client_.call(node_->caller_endpoint(),
                            named_request(id, path_, body_framing::chunked), {}, events);
    }
    int call(const std::string& id) {
        recorded_call events;
        const auto running = send(id, events);
        run_until(loop_, [&] { return events.over(); });
        return events.whole ? events.head.status : 0;
    }
    void call_until(const std::function<bool()>& condition) {
        constexpr int most = 500;
        for (int i = 0; i < most && !condition(); ++i) {
            (void)call("ready");
            run_for(loop_, millis{20});
        }
        REQUIRE(condition());
    }

    std::string path_;
    event_loop loop_;
    boot_clock time_;
    std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                    ("jujubetide-shared-" + std::to_string(::getpid()));
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    http1_client client_{loop_, time_};
    repeating_server shared_{loop_};
    repeating_server other_{loop_};
    recorded_call held_events_;
    std::unique_ptr<http1_call> held_;
    std::optional<node_process> node_;
};

} // namespace

TEST_CASE("a node program runs no refused call and none twice, whatever one address repeats") {
    const std::string path = GENERATE("/once/", "/stream/");
    const bool has_other = GENERATE(false, true);
    shared_address_program program(path, has_other);
    std::string broken;
    for (const char* id : {"id-1", "id-2", "id-3"}) {
        broken += program.broken_promise(id);
    }
    INFO(path << (has_other ? ", another server: " : ": ") << broken);
    CHECK(broken.empty());
}
