#include "support/eventually.h"
#include "support/manual_timer_service.h"

#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/edge/thread_timer_service.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace jujubetide;

TEST_CASE("a task runs at once and then with each period, never twice at a time") {
    manual_timer_service timers;
    std::atomic<int> runs{0};
    std::atomic<int> inside{0};
    std::atomic<bool> overlapped{false};
    periodic_task task(timers, micros{1'000}, [&] {
        overlapped = overlapped || ++inside > 1;
        ++runs;
        --inside;
    });
    timers.advance(micros{0});
    CHECK(eventually([&] { return runs == 1; }));
    timers.advance(micros{999});
    timers.advance(micros{1});
    CHECK(eventually([&] { return runs == 2; }));
    CHECK_FALSE(overlapped);
}

TEST_CASE("a task that chooses its waits runs again after each and ends while it waits") {
    thread_timer_service timers;
    std::atomic<int> runs{0};
    {
        const periodic_task task(timers, [&runs]() -> micros {
            return ++runs < 3 ? micros{1'000} : micros{3'600'000'000};
        });
        CHECK(eventually([&] { return runs == 3; }));
    }
    CHECK(runs == 3);
}
