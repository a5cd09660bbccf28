#include "jujubetide/edge/thread_timer_service.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace jujubetide;
using namespace std::chrono_literals;

TEST_CASE("a timer calls back once or periodically until its subscription ends") {
    thread_timer_service timers;
    std::promise<void> third;
    std::atomic<int> calls{0};
    auto periodic = timers.every(1ms, 0ms, [&] {
        if (++calls == 3) {
            third.set_value();
        }
    });
    third.get_future().wait();
    periodic.reset();
    const int after_cancel = calls;

    std::promise<void> once;
    const auto single = timers.once(5ms, [&once] { once.set_value(); });
    once.get_future().wait();
    CHECK(calls == after_cancel);
}

TEST_CASE("a callback may end its own subscription") {
    thread_timer_service timers;
    std::promise<void> ended;
    std::mutex mutex;
    std::unique_ptr<timer_subscription> own;
    {
        const std::lock_guard lock(mutex);
        own = timers.every(1ms, 0ms, [&] {
            const std::lock_guard inner(mutex);
            own.reset();
            ended.set_value();
        });
    }
    ended.get_future().wait();
    SUCCEED();
}
