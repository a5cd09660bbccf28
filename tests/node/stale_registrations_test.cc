// Registrations of servers that have gone, at addresses that other servers use by now.
#include "node_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jujubetide;

namespace {

/// Servers of `service`, one of whose addresses is also that of the server "gone".
class stale_registration_fixture : public node_fixture {
public:
    explicit stale_registration_fixture(std::string service) : service_(std::move(service)) {
        start();
        const auto script = [this](scripted_call& call) { serve(call); };
        const endpoint shared = add_server("i-1", service_, script).address();
        store.put("servers", "gone", registration_of_test(service_, shared));
        (void)add_server("i-2", service_, script);
        (void)add_server("i-3", service_, script);
        REQUIRE(run_until(loop, [this] { return log.count("server_seen") == 4; }));
    }
    /// Sends calls that overlap and returns how many got an answer of a server.
    std::size_t answered_of(std::size_t count) {
        std::vector<std::unique_ptr<recorded_call>> events;
        std::vector<std::unique_ptr<http1_call>> running;
        const auto sending = loop.every(millis{5}, millis{5}, [&] {
            if (events.size() < count) {
                events.push_back(std::make_unique<recorded_call>());
                running.push_back(
                    send(service_ == "plain" ? "/once/" : "/stream/", *events.back()));
            }
        });
        run_until(loop, [&] {
            return events.size() == count &&
                   std::all_of(events.begin(), events.end(),
                               [](const auto& call) { return call->over(); });
        });
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(),
                          [](const auto& call) { return call->head.status == 200; }));
    }
    [[nodiscard]] int denied() const { return denied_; }

private:
    static constexpr millis run_time{40};

    void serve(scripted_call& call) {
        header_list fields;
        fields.add("X-Attempt-Id",
                   std::string(call.head.headers.find("X-Attempt-Id").value_or("")));
        if (call.head.headers.find("X-Expect-Instance") == "gone") {
            ++denied_;
            call.exchange->respond(421, fields, "");
            return;
        }
        fields.add("X-Upstream-Signature", "s");
        timers_.push_back(loop.once(run_time, [exchange = call.exchange, fields] {
            exchange->begin(200, fields, body_framing::chunked, 0);
            exchange->write("id: 1\ndata: x\n\n");
            exchange->finish();
        }));
    }

    std::string service_;
    int denied_ = 0;
    std::vector<std::unique_ptr<timer_subscription>> timers_;
};

} // namespace

TEST_CASE("a server id that its address denies draws no calls away from free servers") {
    const std::string service = GENERATE("plain", "model");
    stale_registration_fixture fixture(service);
    constexpr std::size_t calls = 200;
    const std::size_t answered = fixture.answered_of(calls);
    INFO(service << ": " << fixture.denied() << " calls denied, " << answered << " answered");
    CHECK(answered == calls);
}
