#pragma once

#include "jujubetide/base/memory_budget.h"
#include "jujubetide/base/timer_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

struct uv_check_s;
struct uv_loop_s;

namespace jujubetide {

/// Dispatches network events and timers on the thread that calls `run`, and must not be used from
/// any other. Everything created on a loop must be destroyed before the loop.
class event_loop final : public timer_service {
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Handles events until `stop`.
    void run();
    void stop();
    /// Calls `function` each time the signal `number` arrives.
    void on_signal(int number, std::function<void()> function);

    /// The libuv loop, for the other classes of this folder.
    [[nodiscard]] uv_loop_s* native() { return loop_.get(); }
    /// The buffer that all sockets of the loop read into; its content is valid until the next read.
    [[nodiscard]] std::span<char> read_buffer() { return read_buffer_; }

    /// Number of times that the loop has looked for events.
    [[nodiscard]] std::uint64_t rounds() const { return rounds_; }

    /// Limits what all connections of the loop buffer together.
    [[nodiscard]] memory_budget& buffers() { return buffers_; }

protected:
    std::unique_ptr<timer_subscription> do_once(micros delay, callback function) override;
    std::unique_ptr<timer_subscription> do_every(micros period, micros first_delay,
                                                 callback function) override;

private:
    struct signal_watcher;

    /// Outlives the writes that the loop abandons.
    memory_budget buffers_;
    std::unique_ptr<uv_loop_s> loop_;
    std::unique_ptr<uv_check_s> round_counter_;
    std::uint64_t rounds_ = 0;
    std::vector<char> read_buffer_;
    std::vector<std::unique_ptr<signal_watcher>> signals_;
};

} // namespace jujubetide
