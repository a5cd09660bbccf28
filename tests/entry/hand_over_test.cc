#include "entry_fixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace jujubetide;

namespace {

constexpr std::uint32_t pieces = 60;

/// Stops of entries, each on a thread of its own.
class entry_stops {
public:
    /// Begins to drain the entry; running answers have `limit` to end.
    void begin(test_entry& entry, millis limit = millis{20'000}) {
        threads_.emplace_back(
            [this, &entry, limit] { drained_ += entry.server().drain(millis{0}, limit) ? 1 : 0; });
    }
    /// Waits for all, and returns how many entries were drained within their limit.
    int finish() {
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
        return drained_;
    }

private:
    std::vector<std::thread> threads_;
    std::atomic<int> drained_{0};
};

void slow_down(entry_fixture& system) {
    standin_engine_knobs slow;
    slow.between_pieces = millis{20};
    for (const auto& engine : system.engines) {
        engine->set_knobs(slow);
    }
}

} // namespace

TEST_CASE("a stopping entry hands a stream over and the caller reads one unbroken answer") {
    entry_fixture system(2, 3);
    slow_down(system);
    entry_stops stops;
    const caller_answer answer = system.caller(0).stream("chat", "p", pieces, [&](std::size_t n) {
        if (n == 5) {
            stops.begin(*system.entries[0]);
        }
        return true;
    });
    const int drained = stops.finish();
    CHECK(drained == 1);
    CHECK(answer.whole);
    CHECK(answer.moves == 1);
    CHECK(answer.text == standin_answer("p", pieces));
}

TEST_CASE("a caller that waits for a whole answer is sent on by 303") {
    entry_fixture system(2, 2);
    slow_down(system);
    caller_answer answer;
    std::thread call([&] { answer = system.caller(0).whole("chat", "p", pieces); });
    CHECK(wait_until([&system] { return system.running_engines() == 1; }));
    CHECK(system.entries[0]->server().drain(millis{0}, millis{20'000}));
    call.join();
    CHECK(answer.whole);
    CHECK(answer.moves == 1);
    CHECK(answer.text == standin_answer("p", pieces));
}

TEST_CASE("a second stop during the first hand-over moves the request on") {
    entry_fixture system(2, 3);
    slow_down(system);
    entry_stops stops;
    const caller_answer answer = system.caller(0).stream("chat", "p", pieces, [&](std::size_t n) {
        if (n == 5) {
            stops.begin(*system.entries[0]);
        }
        if (n == 20) {
            // Whichever of the others took it.
            system.entries[1]->server().begin_drain();
            stops.begin(*system.entries[1]);
        }
        return true;
    });
    const int drained = stops.finish();
    CHECK(drained == 2);
    CHECK(answer.whole);
    CHECK(answer.moves >= 1);
    CHECK(answer.text == standin_answer("p", pieces));
}

TEST_CASE("a lost reply to a hand-over is settled by asking again") {
    entry_fixture system(2, 2);
    slow_down(system);
    system.entries[0]->peers.lose_replies(1);
    entry_stops stops;
    const caller_answer answer = system.caller(0).stream("chat", "p", pieces, [&](std::size_t n) {
        if (n == 5) {
            stops.begin(*system.entries[0]);
        }
        return true;
    });
    const int drained = stops.finish();
    CHECK(drained == 1);
    CHECK(answer.whole);
    CHECK(answer.moves == 1);
    CHECK(answer.text == standin_answer("p", pieces));
    CHECK(system.entries[1]->server().running_requests() == 0);
}

TEST_CASE("without a peer that takes it a request ends at its own node") {
    entry_fixture system(2, 1);
    slow_down(system);
    entry_stops stops;
    const caller_answer answer = system.caller(0).stream("chat", "p", 20, [&](std::size_t n) {
        if (n == 5) {
            stops.begin(*system.entries[0], millis{30'000});
        }
        return true;
    });
    const int drained = stops.finish();
    CHECK(drained == 1);
    CHECK(answer.whole);
    CHECK(answer.moves == 0);
    CHECK(answer.text == standin_answer("p", 20));
}

TEST_CASE("without a peer that takes it a request is not begun anew time after time") {
    const int entries = GENERATE(1, 2);
    entry_fixture system(2, entries);
    standin_engine_knobs slow;
    slow.first_piece = millis{400};
    slow.between_pieces = millis{20};
    for (const auto& engine : system.engines) {
        engine->set_knobs(slow);
    }
    if (entries == 2) {
        // Known as alive, but it refuses.
        system.entries[1]->server().begin_drain();
    }
    entry_stops stops;
    const caller_answer answer = system.caller(0).stream("chat", "p", pieces, [&](std::size_t n) {
        if (n == 5) {
            stops.begin(*system.entries[0], millis{30'000});
        }
        return true;
    });
    const int drained = stops.finish();
    std::size_t attempts = 0;
    for (const auto& engine : system.engines) {
        attempts += engine->counters().executions_by_attempt.size();
    }
    CHECK(drained == 1);
    CHECK(answer.whole);
    CHECK(answer.text == standin_answer("p", pieces));
    // The one that began it, and one for each of the few offers to a peer while it lasts.
    CHECK(attempts <= 4);
}
