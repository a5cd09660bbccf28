#include "jujubetide/net/event_loop.h"

#include <utility>
#include <uv.h>

namespace jujubetide {
namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// A libuv timer; freed by its close callback.
struct native_timer {
    uv_timer_t handle{};
    timer_service::callback function;
    bool repeats = false;
};

std::uint64_t to_uv_millis(micros duration) {
    constexpr micros round_up{999};
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, to_millis(duration + round_up).count()));
}

void on_timer(uv_timer_t* handle) {
    // A copy: the callback may cancel its own timer.
    const timer_service::callback function = static_cast<native_timer*>(handle->data)->function;
    function();
}

class uv_timer_subscription final : public timer_subscription {
public:
    explicit uv_timer_subscription(native_timer* timer) : timer_(timer) {}
    ~uv_timer_subscription() override {
        uv_close(reinterpret_cast<uv_handle_t*>(&timer_->handle),
                 [](uv_handle_t* handle) { delete static_cast<native_timer*>(handle->data); });
    }
    uv_timer_subscription(const uv_timer_subscription&) = delete;
    uv_timer_subscription& operator=(const uv_timer_subscription&) = delete;

private:
    native_timer* timer_;
};

std::unique_ptr<timer_subscription> start_timer(uv_loop_t* loop, micros first_delay, micros period,
                                                timer_service::callback function) {
    auto* timer = new native_timer;
    timer->function = std::move(function);
    uv_timer_init(loop, &timer->handle);
    timer->handle.data = timer;
    uv_update_time(loop);
    uv_timer_start(&timer->handle, on_timer, to_uv_millis(first_delay), to_uv_millis(period));
    return std::make_unique<uv_timer_subscription>(timer);
}

} // namespace

struct event_loop::signal_watcher {
    uv_signal_t handle{};
    std::function<void()> function;
};

event_loop::event_loop()
    : loop_(std::make_unique<uv_loop_t>()), round_counter_(std::make_unique<uv_check_t>()),
      read_buffer_(read_buffer_bytes) {
    uv_loop_init(loop_.get());
    uv_check_init(loop_.get(), round_counter_.get());
    round_counter_->data = this;
    uv_check_start(round_counter_.get(),
                   [](uv_check_t* handle) { ++static_cast<event_loop*>(handle->data)->rounds_; });
    // The counter alone does not keep the loop running.
    uv_unref(reinterpret_cast<uv_handle_t*>(round_counter_.get()));
}

event_loop::~event_loop() {
    for (const auto& watcher : signals_) {
        uv_close(reinterpret_cast<uv_handle_t*>(&watcher->handle), nullptr);
    }
    uv_close(reinterpret_cast<uv_handle_t*>(round_counter_.get()), nullptr);
    // Runs the close callbacks of everything that was destroyed before. Connections that still have
    // unsent bytes are abandoned.
    constexpr int close_rounds = 2;
    for (int i = 0; i < close_rounds; ++i) {
        uv_run(loop_.get(), UV_RUN_NOWAIT);
    }
    uv_loop_close(loop_.get());
}

void event_loop::run() {
    uv_run(loop_.get(), UV_RUN_DEFAULT);
}

void event_loop::stop() {
    uv_stop(loop_.get());
}

void event_loop::on_signal(int number, std::function<void()> function) {
    auto watcher = std::make_unique<signal_watcher>();
    watcher->function = std::move(function);
    uv_signal_init(loop_.get(), &watcher->handle);
    watcher->handle.data = watcher.get();
    uv_signal_start(
        &watcher->handle,
        [](uv_signal_t* handle, int) { static_cast<signal_watcher*>(handle->data)->function(); },
        number);
    signals_.push_back(std::move(watcher));
}

std::unique_ptr<timer_subscription> event_loop::do_once(micros delay, callback function) {
    return start_timer(loop_.get(), delay, micros{0}, std::move(function));
}

std::unique_ptr<timer_subscription> event_loop::do_every(micros period, micros first_delay,
                                                         callback function) {
    return start_timer(loop_.get(), first_delay, period, std::move(function));
}

} // namespace jujubetide
