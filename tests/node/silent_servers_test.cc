// Sound servers that fall silent for a second or so and go on.
#include "node_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace jujubetide;

namespace {

constexpr millis silence{1'200};

} // namespace

TEST_CASE("a server that falls silent for a second goes on with its answers") {
    const std::string path = GENERATE("/once/", "/often/", "/stream/", "/resumed/");
    const bool is_silent_at_first = GENERATE(true, false);
    INFO(path << (is_silent_at_first ? ", before the answer" : ", amid the answer"));
    const bool is_stream = path == "/stream/" || path == "/resumed/";
    node_fixture fixture;
    std::vector<std::unique_ptr<timer_subscription>> timers;
    fixture.start();
    const auto script = [&](scripted_call& call) {
        const auto begin = [&call, is_stream] {
            if (is_stream) {
                begin_events(call);
                call.exchange->write(event_text(1));
            }
        };
        const auto finish = [&call, is_stream] {
            if (is_stream) {
                call.exchange->write(event_text(2));
                call.exchange->finish();
            } else {
                answer(call, 200, "ok");
            }
        };
        if (!is_silent_at_first) {
            begin();
        }
        timers.push_back(fixture.loop.once(silence, [begin, finish, is_silent_at_first] {
            if (is_silent_at_first) {
                begin();
            }
            finish();
        }));
    };
    const std::string service = is_stream ? "model" : "plain";
    scripted_server& first = fixture.add_server("i-1", service, script);
    scripted_server& second = fixture.add_server("i-2", service, script);
    const recorded_call got = fixture.call(path);
    CHECK(got.whole);
    CHECK(got.head.status == 200);
    CHECK(got.body == (is_stream ? event_text(1) + event_text(2) : "ok"));
    CHECK(first.calls().size() + second.calls().size() == 1);
    CHECK(fixture.log.count("server_links_lost") == 0);
}

namespace {

/// Objective 500 ms and longest pause 500 ms: callers abandon a stream after a gap of 4 s.
constexpr micros caller_patience{4'000'000};
constexpr int last_event = 4;

nlohmann::json long_streams() {
    return {{"resumed", {{"timeoutMs", 12'000}}}};
}

std::string whole_stream() {
    std::string text;
    for (int id = 1; id <= last_event; ++id) {
        text += event_text(id);
    }
    return text;
}

/// Servers whose streams fall silent after two events, for `pause` or for good. A resumed stream
/// is sent at once.
class preempting_servers {
public:
    preempting_servers(node_fixture& fixture, std::optional<millis> pause)
        : fixture_(fixture), pause_(pause) {}

    scripted_server& add(const std::string& id) {
        return fixture_.add_server(id, "model", [this](scripted_call& call) { run(call); });
    }

private:
    void run(scripted_call& call) {
        begin_events(call);
        if (const auto last = call.head.headers.find("Last-Event-Id")) {
            send_rest(call, std::stoi(std::string(*last)) + 1);
            return;
        }
        call.exchange->write(event_text(1) + event_text(2));
        if (pause_) {
            timers_.push_back(fixture_.loop.once(*pause_, [&call] {
                if (!call.caller_gone) {
                    send_rest(call, 3);
                }
            }));
        }
    }
    static void send_rest(scripted_call& call, int from) {
        for (int id = from; id <= last_event; ++id) {
            call.exchange->write(event_text(id));
        }
        call.exchange->finish();
    }

    node_fixture& fixture_;
    std::optional<millis> pause_;
    std::vector<std::unique_ptr<timer_subscription>> timers_;
};

} // namespace

TEST_CASE("a stream that no other server can take over is not cut while its server is silent") {
    const bool is_stopping = GENERATE(false, true);
    INFO((is_stopping ? "in a stop" : "outside a stop"));
    node_fixture fixture;
    fixture.start(long_streams());
    preempting_servers servers(fixture, millis{2'200});
    servers.add("i-1");
    recorded_call got;
    const auto running = fixture.send("/resumed/", got);
    REQUIRE(run_until(fixture.loop, [&] { return !got.body.empty(); }));
    if (is_stopping) {
        fixture.tested->begin_stop();
    }
    run_until(fixture.loop, [&] { return got.over(); });
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
}

TEST_CASE("streams beyond the retry budget are not cut while their server is silent") {
    node_fixture fixture;
    fixture.start(long_streams());
    preempting_servers servers(fixture, millis{3'800});
    servers.add("i-1");
    servers.add("i-2");
    constexpr std::size_t streams = 12;
    std::vector<recorded_call> got(streams);
    std::vector<std::unique_ptr<http1_call>> running;
    running.reserve(streams);
    for (recorded_call& one : got) {
        running.push_back(fixture.send("/resumed/", one));
    }
    run_until(fixture.loop, [&] {
        return std::all_of(got.begin(), got.end(), [](const auto& one) { return one.over(); });
    });
    for (const recorded_call& one : got) {
        CHECK(one.whole);
        CHECK(one.body == whole_stream());
    }
    CHECK(fixture.log.count("retry_withheld") > 0);
}

TEST_CASE("a stream stays at a server that is silent for less time than its caller waits") {
    node_fixture fixture;
    fixture.start(long_streams());
    preempting_servers servers(fixture, millis{2'400});
    scripted_server& one = servers.add("i-1");
    scripted_server& other = servers.add("i-2");
    const recorded_call got = fixture.call("/resumed/");
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
    CHECK(one.calls().size() + other.calls().size() == 1);
}

TEST_CASE("a stream whose server hangs is resumed before its caller leaves") {
    node_fixture fixture;
    fixture.start(long_streams());
    preempting_servers servers(fixture, std::nullopt);
    servers.add("i-1");
    servers.add("i-2");
    recorded_call got;
    const auto running = fixture.send("/resumed/", got);
    REQUIRE(run_until(fixture.loop, [&] { return !got.body.empty(); }));
    const time_point last_sent = fixture.time.now();
    const std::size_t before = got.body.size();
    REQUIRE(run_until(fixture.loop, [&] { return got.body.size() > before || got.over(); }));
    CHECK(fixture.time.now() - last_sent < caller_patience);
    run_until(fixture.loop, [&] { return got.over(); });
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
}

TEST_CASE(
    "a stream whose server hangs before its first event is sent again before its caller leaves") {
    node_fixture fixture;
    fixture.start(long_streams());
    int sent = 0;
    const auto script = [&sent](scripted_call& call) {
        if (++sent == 1) {
            return; // Hangs.
        }
        begin_events(call);
        call.exchange->write(whole_stream());
        call.exchange->finish();
    };
    fixture.add_server("i-1", "model", script);
    fixture.add_server("i-2", "model", script);
    const time_point began = fixture.time.now();
    const recorded_call got = fixture.call("/resumed/");
    CHECK(got.whole);
    CHECK(got.body == whole_stream());
    CHECK(fixture.time.now() - began < caller_patience);
}
