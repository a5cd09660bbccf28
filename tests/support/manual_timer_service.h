#pragma once

#include "jujubetide/base/timer_service.h"

#include <algorithm>
#include <iterator>
#include <list>
#include <utility>

namespace jujubetide {

/// Timers that fire when a test moves the time, on the thread that calls `advance`. Not
/// thread-safe. Subscriptions must not outlive the service.
class manual_timer_service final : public timer_service {
public:
    void advance(micros step) {
        const micros end = now_ + step;
        while (timer* next = next_until(end)) {
            now_ = std::max(now_, next->due);
            const callback function = next->function;
            if (next->period > micros{0}) {
                next->due += next->period;
            } else {
                next->due = micros::max();
            }
            function();
        }
        now_ = end;
    }

protected:
    std::unique_ptr<timer_subscription> do_once(micros delay, callback function) override {
        return add(delay, micros{0}, std::move(function));
    }
    std::unique_ptr<timer_subscription> do_every(micros period, micros first_delay,
                                                 callback function) override {
        return add(first_delay, period, std::move(function));
    }

private:
    struct timer {
        micros due;
        micros period;
        callback function;
    };
    class subscription final : public timer_subscription {
    public:
        subscription(std::list<timer>& timers, std::list<timer>::iterator own)
            : timers_(timers), own_(own) {}
        ~subscription() override { timers_.erase(own_); }
        subscription(const subscription&) = delete;
        subscription& operator=(const subscription&) = delete;

    private:
        std::list<timer>& timers_;
        std::list<timer>::iterator own_;
    };

    std::unique_ptr<timer_subscription> add(micros delay, micros period, callback function) {
        timers_.push_back({now_ + delay, period, std::move(function)});
        return std::make_unique<subscription>(timers_, std::prev(timers_.end()));
    }
    timer* next_until(micros end) {
        timer* next = nullptr;
        for (timer& candidate : timers_) {
            if (candidate.due <= end && (next == nullptr || candidate.due < next->due)) {
                next = &candidate;
            }
        }
        return next;
    }

    micros now_{0};
    std::list<timer> timers_;
};

} // namespace jujubetide
