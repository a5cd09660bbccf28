#pragma once

#include "jujubetide/base/units.h"

#include <functional>
#include <memory>

namespace jujubetide {

/// Handle of a timer subscription; destroying it cancels the timer and waits for a running callback
/// to end, unless the callback itself destroys it.
class timer_subscription {
public:
    timer_subscription() = default;
    virtual ~timer_subscription() = default;
    timer_subscription(const timer_subscription&) = delete;
    timer_subscription& operator=(const timer_subscription&) = delete;
};

/// Calls subscribers back as time passes. Callbacks must not block. Thread-safe.
class timer_service {
public:
    using callback = std::function<void()>;

    virtual ~timer_service() = default;

    /// Calls `function` once, `delay` from now.
    [[nodiscard]] std::unique_ptr<timer_subscription> once(micros delay, callback function) {
        return do_once(delay, std::move(function));
    }
    /// Calls `function` each `period`, the first time after `first_delay`.
    [[nodiscard]] std::unique_ptr<timer_subscription> every(micros period, micros first_delay,
                                                            callback function) {
        return do_every(period, first_delay, std::move(function));
    }

protected:
    timer_service() = default;
    timer_service(const timer_service&) = default;
    timer_service& operator=(const timer_service&) = default;
    virtual std::unique_ptr<timer_subscription> do_once(micros delay, callback function) = 0;
    virtual std::unique_ptr<timer_subscription> do_every(micros period, micros first_delay,
                                                         callback function) = 0;
};

} // namespace jujubetide
