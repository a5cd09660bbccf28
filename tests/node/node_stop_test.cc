// Callers that keep using their open connections while the node stops.
#include "node_fixture.h"

#include "jujubetide/net/tcp_connection.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace jujubetide;

namespace {

/// A caller's connection that is used until the node closes it, whatever its answers say.
class kept_connection final : public connection_events {
public:
    kept_connection(event_loop& loop, const endpoint& node)
        : connection_(tcp_connection::connect(loop, node, *this)) {}
    ~kept_connection() override {
        if (connection_->is_open()) {
            connection_->reset();
        }
    }
    kept_connection(const kept_connection&) = delete;
    kept_connection& operator=(const kept_connection&) = delete;

    void send(const std::string& bytes) {
        if (!is_closed) {
            connection_->write(bytes);
        }
    }
    [[nodiscard]] int answers(const std::string& status) const {
        int count = 0;
        for (std::size_t at = received.find("HTTP/1.1 " + status); at != std::string::npos;
             at = received.find("HTTP/1.1 " + status, at + 1)) {
            ++count;
        }
        return count;
    }

    std::string received;
    bool is_closed = false;

protected:
    void do_data(std::string_view bytes) override { received += bytes; }
    void do_end(connection_end) override { is_closed = true; }

private:
    std::shared_ptr<tcp_connection> connection_;
};

/// Calls a function when the node logs an event.
class log_trigger final : public log_sink {
public:
    log_trigger(std::string event, std::function<void()> action)
        : event_(std::move(event)), action_(std::move(action)) {}

protected:
    void do_write(const log_event& event, std::initializer_list<log_field>) override {
        if (event.name == event_) {
            action_();
        }
    }

private:
    std::string event_;
    std::function<void()> action_;
};

/// Runs until the node stops the loop, then ends it as its process would.
void run_to_the_end(node_fixture& fixture) {
    fixture.loop.run();
    CHECK(fixture.log.count("node_stopped") == 1);
    fixture.tested.reset();
    run_for(fixture.loop, millis{200});
}

/// Time after the stop signal at which the node takes no more calls.
constexpr millis accept_time{2'500};

/// Sends a request to `path` on a connection that a stream has kept open until then.
void check_late_request_is_refused(const std::string& path) {
    node_fixture fixture;
    fixture.start({{"stream", {{"timeoutMs", 20'000}}}});
    scripted_server& server = fixture.add_server("i-1", "model", [](scripted_call& call) {
        begin_events(call);
        call.exchange->write(event_text(1));
    });
    scripted_server& plain =
        fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    kept_connection caller(fixture.loop, fixture.tested->caller_endpoint());
    caller.send(request_of_test("/stream/", {}));
    REQUIRE(run_until(fixture.loop, [&] { return server.calls().size() == 1; }));
    run_for(fixture.loop, millis{50});
    fixture.tested->begin_stop();
    const auto end_of_stream =
        fixture.loop.once(accept_time + millis{50}, [&] { server.calls()[0]->exchange->finish(); });
    const auto next_request = fixture.loop.once(accept_time + millis{100},
                                                [&] { caller.send(request_of_test(path, {})); });
    run_to_the_end(fixture);
    CHECK(caller.answers("200") == 1);
    CHECK(caller.received.find("0\r\n\r\n") != std::string::npos); // The stream's end.
    CHECK(caller.answers("503") == 1);
    CHECK(server.calls().size() == 1);
    CHECK(plain.calls().empty());
    CHECK(caller.is_closed);
}

} // namespace

TEST_CASE("a request that arrives in the turn of the loop that ends the stop is not begun") {
    node_fixture fixture;
    fixture.start();
    scripted_server& server =
        fixture.add_server("i-1", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    REQUIRE(fixture.call("/often/").whole); // Leaves an idle connection to the server.
    const endpoint node_address = fixture.tested->caller_endpoint();
    std::vector<std::unique_ptr<kept_connection>> callers;
    // Connections whose first request may still come when the node stops accepting.
    const auto connecting = fixture.loop.every(millis{100}, millis{100}, [&] {
        callers.push_back(std::make_unique<kept_connection>(fixture.loop, node_address));
    });
    log_trigger at_end("node_stopped", [&] {
        for (const auto& caller : callers) {
            caller->send(request_of_test("/often/", {}));
        }
    });
    fixture.log.also_to = &at_end;
    fixture.tested->begin_stop();
    run_to_the_end(fixture);
    CHECK(server.calls().size() == 1);
    fixture.log.also_to = nullptr;
}

TEST_CASE("a request long after the stop signal is not begun on a connection that is still open") {
    check_late_request_is_refused("/stream/");
}

TEST_CASE("a request that may run once and comes late in the grace period is refused as not run") {
    check_late_request_is_refused("/once/");
}

TEST_CASE("a request that follows a stream's end during the stop is answered") {
    node_fixture fixture;
    fixture.start({{"stream", {{"timeoutMs", 20'000}}}});
    scripted_server& server = fixture.add_server("i-1", "model", [](scripted_call& call) {
        begin_events(call);
        call.exchange->write(event_text(1));
    });
    fixture.add_server("i-2", "plain", [](scripted_call& call) { answer(call, 200, "ok"); });
    kept_connection caller(fixture.loop, fixture.tested->caller_endpoint());
    caller.send(request_of_test("/stream/", {}));
    REQUIRE(run_until(fixture.loop, [&] { return server.calls().size() == 1; }));
    fixture.tested->begin_stop();
    const auto end_of_stream = fixture.loop.once(millis{1'000}, [&] {
        server.calls()[0]->exchange->finish();
        caller.send(request_of_test("/often/", {}));
    });
    run_to_the_end(fixture);
    CHECK(caller.answers("200") == 2);
}

TEST_CASE("every request that reaches a server during a stop is answered") {
    node_fixture fixture;
    fixture.start();
    std::vector<std::unique_ptr<timer_subscription>> answers;
    scripted_server& server = fixture.add_server("i-1", "plain", [&](scripted_call& call) {
        answers.push_back(fixture.loop.once(millis{20}, [&call] { answer(call, 200, "ok"); }));
    });
    const endpoint node_address = fixture.tested->caller_endpoint();
    std::vector<std::unique_ptr<kept_connection>> callers;
    int sent = 0;
    // Old connections are used again and again, and new ones are opened, until the process is gone.
    const auto calling = fixture.loop.every(millis{7}, millis{7}, [&] {
        if (sent % 5 == 0) {
            callers.push_back(std::make_unique<kept_connection>(fixture.loop, node_address));
        }
        const std::string request = request_of_test("/often/", {});
        kept_connection& caller = *callers[fixture.random.below(callers.size())];
        if (sent % 3 == 0) {
            caller.send(request);
        } else { // In two pieces, of which the second may come late or never.
            caller.send(request.substr(0, request.size() / 2));
            caller.send(sent % 3 == 1 ? request.substr(request.size() / 2) : "");
        }
        ++sent;
    });
    run_for(fixture.loop, millis{300});
    fixture.tested->begin_stop();
    run_to_the_end(fixture);
    int answered = 0;
    for (const auto& caller : callers) {
        answered += caller->answers("200");
    }
    CHECK(server.calls().size() > 10);
    CHECK(answered == static_cast<int>(server.calls().size()));
}

TEST_CASE("a connection that never sends anything does not hold up the stop") {
    node_fixture fixture;
    fixture.start();
    const kept_connection silent(fixture.loop, fixture.tested->caller_endpoint());
    run_for(fixture.loop, millis{50});
    const time_point began = fixture.time.now();
    fixture.tested->begin_stop();
    run_to_the_end(fixture);
    CHECK(fixture.time.now() - began < millis{3'000}); // The grace period.
}

TEST_CASE("what still runs at the end of the grace period gets its final status") {
    node_fixture fixture;
    fixture.start({{"often", {{"timeoutMs", 20'000}}}});
    scripted_server& server = fixture.add_server("i-1", "plain", [](scripted_call&) {});
    kept_connection caller(fixture.loop, fixture.tested->caller_endpoint());
    caller.send(request_of_test("/often/", {}));
    REQUIRE(run_until(fixture.loop, [&] { return server.calls().size() == 1; }));
    fixture.tested->begin_stop();
    run_to_the_end(fixture);
    CHECK(caller.answers("504") == 1);
}
