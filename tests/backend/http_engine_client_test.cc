#include "standins/standin_engine.h"
#include "support/eventually.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/edge/thread_timer_service.h"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace jujubetide;

namespace {

std::unique_ptr<standin_engine> make_engine(const standin_engine_options& options = {}) {
    auto engine = standin_engine::make(options);
    REQUIRE(engine.ok());
    return *std::move(engine);
}

engine_request make_request(const std::string& attempt, std::uint32_t pieces = 8) {
    engine_request request;
    request.attempt = attempt_id(attempt);
    request.request = request_id("r-" + attempt);
    request.prompt = "why is the freezer warm";
    request.max_pieces = pieces;
    request.time_left = millis{60'000};
    return request;
}

/// Keeps the pieces; stops after a number of pieces, or of idle calls, counted while
/// `counts_idle` holds.
class collecting_receiver final : public engine_receiver {
public:
    std::vector<engine_piece> pieces;
    std::size_t stop_after_pieces = SIZE_MAX;
    int stop_after_idle = 1'000;
    std::function<bool()> counts_idle = [] { return true; };

    [[nodiscard]] std::string text() const {
        std::string joined;
        for (const engine_piece& piece : pieces) {
            joined += piece.text;
        }
        return joined;
    }

protected:
    bool do_on_piece(const engine_piece& piece) override {
        pieces.push_back(piece);
        return pieces.size() < stop_after_pieces;
    }
    bool do_on_idle() override {
        if (counts_idle()) {
            --stop_after_idle;
        }
        return stop_after_idle > 0;
    }
};

std::vector<std::uint32_t> offsets_of(const collecting_receiver& receiver) {
    std::vector<std::uint32_t> offsets;
    for (const engine_piece& piece : receiver.pieces) {
        offsets.push_back(piece.offset.value());
    }
    return offsets;
}

} // namespace

TEST_CASE("an answer is whole, and a resumed one continues it on another engine") {
    const auto first = make_engine();
    const auto second = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers);
    collecting_receiver begin;
    begin.stop_after_pieces = 3;
    const engine_request request = make_request("a1");
    CHECK(client.run(first->address(), request, begin).outcome == engine_outcome::cancelled);
    CHECK(first->counters().cancelled_attempts.count("a1") == 1);

    engine_request resumed = make_request("a2");
    resumed.start = piece_offset(3);
    resumed.generated = begin.text();
    collecting_receiver rest;
    const engine_result result = client.run(second->address(), resumed, rest);
    REQUIRE(result.outcome == engine_outcome::completed);
    CHECK(result.total == piece_offset(8));
    CHECK(result.finish_reason == "length");
    CHECK(begin.text() + rest.text() == standin_answer(request.prompt, 8));
    CHECK(rest.pieces.front().attempt == attempt_id("a2"));
    CHECK(second->counters().executions_by_request.at("r-a2") == 1);
}

TEST_CASE("only an engine that was not reached or says so did not run") {
    const auto engine = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers);
    collecting_receiver receiver;
    engine->set_fault(engine_fault::refuse_not_run);
    CHECK(client.run(engine->address(), make_request("a1"), receiver).outcome ==
          engine_outcome::not_run);
    engine->set_fault(engine_fault::fail_before_run);
    const auto failed = client.run(engine->address(), make_request("a2"), receiver);
    CHECK(failed.outcome == engine_outcome::interrupted);
    CHECK(failed.error == "the engine answered 500");
    CHECK(engine->counters().executions_by_attempt.empty());

    endpoint closed;
    { closed = make_engine()->address(); }
    CHECK(client.run(closed, make_request("a3"), receiver).outcome == engine_outcome::not_run);
    CHECK(receiver.pieces.empty());
}

TEST_CASE("an answer without its end mark is interrupted") {
    const auto engine = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers);
    for (const engine_fault fault : {engine_fault::end_early, engine_fault::tear_piece}) {
        collecting_receiver receiver;
        engine->set_fault(fault, {1, 3});
        const std::string attempt = fault == engine_fault::end_early ? "early" : "torn";
        CHECK(client.run(engine->address(), make_request(attempt), receiver).outcome ==
              engine_outcome::interrupted);
        CHECK(receiver.pieces.size() == 3);
    }
}

TEST_CASE("pieces reach the receiver as the engine sent them") {
    const auto engine = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers);
    const auto run_with = [&](engine_fault fault) {
        collecting_receiver receiver;
        engine->set_fault(fault, {1, 1});
        CHECK(client.run(engine->address(), make_request("a", 4), receiver).outcome ==
              engine_outcome::completed);
        return receiver;
    };
    CHECK(offsets_of(run_with(engine_fault::repeat_piece)) ==
          std::vector<std::uint32_t>{0, 1, 1, 2, 3});
    CHECK(offsets_of(run_with(engine_fault::cross_pieces)) ==
          std::vector<std::uint32_t>{0, 2, 1, 3});
    CHECK(offsets_of(run_with(engine_fault::skip_piece)) == std::vector<std::uint32_t>{0, 2, 3});
    const auto wrong = run_with(engine_fault::wrong_attempt);
    CHECK(wrong.pieces[0].attempt == attempt_id("a"));
    CHECK(wrong.pieces[1].attempt != attempt_id("a"));
}

TEST_CASE("the receiver can stop a stalled stream, also before its first byte") {
    const auto engine = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers);
    for (const std::size_t at_piece : {std::size_t{0}, std::size_t{2}}) {
        collecting_receiver receiver;
        receiver.stop_after_idle = 3;
        receiver.counts_idle = [&] {
            return engine->running() == 1 && receiver.pieces.size() == at_piece;
        };
        engine->set_fault(engine_fault::stall, {1, at_piece});
        const std::string attempt = "stalled-" + std::to_string(at_piece);
        CHECK(client.run(engine->address(), make_request(attempt), receiver).outcome ==
              engine_outcome::cancelled);
        CHECK(receiver.pieces.size() == at_piece);
        CHECK(eventually([&] { return engine->running() == 0; }));
    }
}

namespace {

/// An address whose host does not answer: the queue of connections that wait there is full.
class silent_address {
public:
    silent_address() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        REQUIRE(::bind(listener_, raw(), size_) == 0);
        REQUIRE(::listen(listener_, 0) == 0);
        REQUIRE(::getsockname(listener_, raw(), &size_) == 0);
        // Two fill the queue: as many as it holds, and one more.
        for (int& filler : fillers_) {
            filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)::connect(filler, raw(), size_);
        }
    }
    ~silent_address() {
        for (const int filler : fillers_) {
            ::close(filler);
        }
        ::close(listener_);
    }
    silent_address(const silent_address&) = delete;
    silent_address& operator=(const silent_address&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", ntohs(address_.sin_port)}; }

private:
    sockaddr* raw() { return reinterpret_cast<sockaddr*>(&address_); }

    sockaddr_in address_{AF_INET, 0, {htonl(INADDR_LOOPBACK)}, {}};
    socklen_t size_ = sizeof(address_);
    int listener_;
    std::array<int, 2> fillers_{};
};

} // namespace

TEST_CASE("a stop while a host does not answer holds up no other stream") {
    const silent_address silent;
    const auto engine = make_engine();
    thread_timer_service timers;
    http_engine_client client(timers, {millis{10'000}, millis{2'000}, millis{2'000}});
    std::atomic<bool> gave_up{false};
    std::atomic<bool> asked{false};
    std::thread waiting([&] {
        collecting_receiver receiver;
        receiver.stop_after_idle = 1;
        receiver.counts_idle = [&asked] { return asked = true; };
        (void)client.run(silent.address(), make_request("silent"), receiver);
        gave_up = true;
    });
    REQUIRE(eventually([&asked] { return asked.load(); }));
    engine->set_fault(engine_fault::stall, {1, 2});
    collecting_receiver receiver;
    // Longer than the cancellation that the client sends to the silent host at the end.
    receiver.stop_after_idle = 10;
    CHECK(client.run(engine->address(), make_request("stalled"), receiver).outcome ==
          engine_outcome::cancelled);
    CHECK_FALSE(gave_up);
    waiting.join();
}

TEST_CASE("the receiver is asked while a stream sends bytes but no pieces") {
    constexpr int pings = 300;
    const auto server = http_server::make({}, [](httplib::Server& routes) {
        routes.Post("/v1/generate", [](const httplib::Request&, httplib::Response& response) {
            response.set_chunked_content_provider(
                "text/event-stream", [sent = 0](std::size_t, httplib::DataSink& sink) mutable {
                    if (++sent == pings) {
                        sink.done();
                        return true;
                    }
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                    return sink.write(": ping\n\n", 8);
                });
        });
    });
    REQUIRE(server.ok());
    thread_timer_service timers;
    http_engine_client client(timers);
    collecting_receiver receiver;
    receiver.stop_after_idle = 3;
    CHECK(client.run((*server)->address(), make_request("pinged"), receiver).outcome ==
          engine_outcome::cancelled);
}

TEST_CASE("an engine runs the urgent first and reports its load") {
    standin_engine_options options;
    options.max_running = 1;
    options.version = version_id("v1");
    const auto engine = make_engine(options);
    engine->set_fault(engine_fault::stall, {1, 0});
    thread_timer_service timers;
    http_engine_client client(timers);
    const auto run = [&client, &engine](const std::string& attempt, int priority) {
        return std::thread([&client, &engine, attempt, priority] {
            engine_request request = make_request(attempt);
            request.priority = priority;
            collecting_receiver receiver;
            receiver.stop_after_idle = 1'000'000;
            (void)client.run(engine->address(), request, receiver);
        });
    };
    std::thread first = run("first", 0);
    REQUIRE(eventually([&] { return engine->running() == 1; }));
    std::thread low = run("low", 1);
    REQUIRE(eventually([&] { return engine->waiting() == 1; }));
    std::thread high = run("high", 2);
    REQUIRE(eventually([&] { return engine->waiting() == 2; }));
    const auto load = client.load(engine->address());
    REQUIRE(load.ok());
    CHECK(load->running == 1);
    CHECK(load->waiting == 2);
    CHECK(load->max_running == 1);
    CHECK(load->version == version_id("v1"));
    CHECK(load->sequence < client.load(engine->address())->sequence);

    engine->set_fault(engine_fault::stall, {1, 0});
    REQUIRE(client.cancel(engine->address(), attempt_id("first")).ok());
    REQUIRE(eventually([&] { return engine->waiting() == 1 && engine->running() == 1; }));
    REQUIRE(client.cancel(engine->address(), attempt_id("high")).ok());
    for (std::thread* thread : {&first, &low, &high}) {
        thread->join();
    }
    CHECK(engine->counters().most_running == 1);
}

TEST_CASE("cache events name the prefixes that an engine keeps") {
    standin_engine_options options;
    options.cache_blocks = 2;
    const auto engine = make_engine(options);
    thread_timer_service timers;
    http_engine_client client(timers);
    engine_request request = make_request("a");
    request.prompt = std::string(600, 'x');
    collecting_receiver receiver;
    CHECK(client.run(engine->address(), request, receiver).cached_tokens == token_count(0));
    CHECK(client.run(engine->address(), request, receiver).cached_tokens == token_count(128));
    CHECK(client.cache_events(engine->address(), sequence_number(0))->size() == 2);
    request.prompt = std::string(300, 'y');
    (void)client.run(engine->address(), request, receiver);
    const auto events = client.cache_events(engine->address(), sequence_number(2));
    REQUIRE(events.ok());
    REQUIRE(events->size() == 2);
    CHECK((*events)[0].stored);
    CHECK_FALSE((*events)[1].stored);
}

TEST_CASE("orders with an old fencing number have effect only at engines that ignore it") {
    standin_engine_options ignoring;
    ignoring.checks_fencing = false;
    const auto checking_engine = make_engine();
    const auto ignoring_engine = make_engine(ignoring);
    thread_timer_service timers;
    http_engine_client client(timers);
    const engine_order newer{lease_id("l"), fencing_number(2), version_id("v2"), {}};
    const engine_order older{lease_id("l"), fencing_number(1), version_id("v1"), {}};
    for (const auto* engine : {&checking_engine, &ignoring_engine}) {
        REQUIRE(client.order((*engine)->address(), newer).ok());
    }
    CHECK(client.order(checking_engine->address(), older).code() ==
          absl::StatusCode::kFailedPrecondition);
    CHECK(checking_engine->version() == version_id("v2"));
    CHECK(client.order(ignoring_engine->address(), older).ok());
    CHECK(ignoring_engine->version() == version_id("v1"));
}
