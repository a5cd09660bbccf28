#pragma once

#include "jujubetide/base/timer_service.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

struct uv_loop_s;

namespace jujubetide {

/// Network events and timers on the one thread that calls `run`. Nothing of it may be used from
/// another thread. Everything made on a loop must be destroyed before the loop.
class event_loop final : public timer_service {
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Handles events until `stop`.
    void run();
    void stop();
    /// Calls `function` for each arrival of the signal `number`.
    void on_signal(int number, std::function<void()> function);

    /// For the parts of this subsystem.
    [[nodiscard]] uv_loop_s* native() { return loop_.get(); }
    /// Where all connections of the loop read into; valid until the next read.
    [[nodiscard]] std::span<char> read_buffer() { return read_buffer_; }

protected:
    std::unique_ptr<timer_subscription> do_once(micros delay, callback function) override;
    std::unique_ptr<timer_subscription> do_every(micros period, micros first_delay,
                                                 callback function) override;

private:
    struct signal_watch;

    std::unique_ptr<uv_loop_s> loop_;
    std::vector<char> read_buffer_;
    std::vector<std::unique_ptr<signal_watch>> signals_;
};

} // namespace jujubetide
