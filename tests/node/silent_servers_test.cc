// Sound servers that fall silent for a second or so and go on.
#include "node_fixture.h"

#include <catch2/catch.hpp>

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
