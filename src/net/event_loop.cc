#include "jujubetide/net/event_loop.h"

#include <utility>
#include <uv.h>

namespace jujubetide {
namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// A native timer; freed by the loop once it is closed.
struct native_timer {
    uv_timer_t handle{};
    timer_service::callback function;
    bool repeats = false;
};

std::uint64_t to_native(micros duration) {
    constexpr micros rounding{999};
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, to_millis(duration + rounding).count()));
}

void on_timer(uv_timer_t* handle) {
    // A copy: the callback may cancel its own timer.
    const timer_service::callback function = static_cast<native_timer*>(handle->data)->function;
    function();
}

class loop_timer final : public timer_subscription {
public:
    explicit loop_timer(native_timer* timer) : timer_(timer) {}
    ~loop_timer() override {
        uv_close(reinterpret_cast<uv_handle_t*>(&timer_->handle),
                 [](uv_handle_t* handle) { delete static_cast<native_timer*>(handle->data); });
    }
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

private:
    native_timer* timer_;
};

std::unique_ptr<timer_subscription> start(uv_loop_t* loop, micros first, micros period,
                                          timer_service::callback function) {
    auto* timer = new native_timer;
    timer->function = std::move(function);
    uv_timer_init(loop, &timer->handle);
    timer->handle.data = timer;
    uv_update_time(loop);
    uv_timer_start(&timer->handle, on_timer, to_native(first), to_native(period));
    return std::make_unique<loop_timer>(timer);
}

} // namespace

struct event_loop::signal_watch {
    uv_signal_t handle{};
    std::function<void()> function;
};

event_loop::event_loop() : loop_(std::make_unique<uv_loop_t>()), read_buffer_(read_buffer_bytes) {
    uv_loop_init(loop_.get());
}

event_loop::~event_loop() {
    for (const auto& watch : signals_) {
        uv_close(reinterpret_cast<uv_handle_t*>(&watch->handle), nullptr);
    }
    // Runs the close callbacks of everything that was destroyed before. Connections that still send
    // are given up.
    constexpr int rounds = 2;
    for (int i = 0; i < rounds; ++i) {
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
    auto watch = std::make_unique<signal_watch>();
    watch->function = std::move(function);
    uv_signal_init(loop_.get(), &watch->handle);
    watch->handle.data = watch.get();
    uv_signal_start(
        &watch->handle,
        [](uv_signal_t* handle, int) { static_cast<signal_watch*>(handle->data)->function(); },
        number);
    signals_.push_back(std::move(watch));
}

std::unique_ptr<timer_subscription> event_loop::do_once(micros delay, callback function) {
    return start(loop_.get(), delay, micros{0}, std::move(function));
}

std::unique_ptr<timer_subscription> event_loop::do_every(micros period, micros first_delay,
                                                         callback function) {
    return start(loop_.get(), first_delay, period, std::move(function));
}

} // namespace jujubetide
