#pragma once

#include "jujubetide/base/clock.h"
#include "jujubetide/base/timer_service.h"

#include <memory>

namespace jujubetide {

/// Timers on one thread of their own.
class thread_timer_service final : public timer_service {
public:
    thread_timer_service();
    ~thread_timer_service() override;
    thread_timer_service(const thread_timer_service&) = delete;
    thread_timer_service& operator=(const thread_timer_service&) = delete;

protected:
    std::unique_ptr<timer_subscription> do_once(micros delay, callback function) override;
    std::unique_ptr<timer_subscription> do_every(micros period, micros first_delay,
                                                 callback function) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace jujubetide
