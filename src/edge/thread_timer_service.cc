// One thread serves all timers from an ordered map. A subscription marks its timer as cancelled and
// waits for a running callback, so that the owner's members are safe to destroy afterwards.
#include "jujubetide/edge/thread_timer_service.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace jujubetide {
namespace {

using steady = std::chrono::steady_clock;

struct timer {
    timer_service::callback function;
    micros period{0};
    bool cancelled = false;
    bool running = false;
};

} // namespace

struct thread_timer_service::state {
    std::mutex mutex;
    std::condition_variable changed;
    std::condition_variable callback_ended;
    std::multimap<steady::time_point, std::shared_ptr<timer>> due;
    std::thread::id runner;
    bool stopping = false;
    std::thread thread;

    void run();
    void run_one(std::unique_lock<std::mutex>& lock, const std::shared_ptr<timer>& entry);
    void cancel(const std::shared_ptr<timer>& entry);
};

void thread_timer_service::state::run() {
    std::unique_lock lock(mutex);
    runner = std::this_thread::get_id();
    while (!stopping) {
        if (due.empty()) {
            changed.wait(lock);
            continue;
        }
        const auto next = due.begin();
        const steady::time_point when = next->first;
        if (steady::now() < when) {
            changed.wait_until(lock, when);
            continue;
        }
        const std::shared_ptr<timer> entry = next->second;
        due.erase(next);
        if (entry->cancelled) {
            continue;
        }
        run_one(lock, entry);
        if (entry->period > micros{0} && !entry->cancelled) {
            due.emplace(std::max(when + entry->period, steady::now()), entry);
        }
    }
}

void thread_timer_service::state::run_one(std::unique_lock<std::mutex>& lock,
                                          const std::shared_ptr<timer>& entry) {
    entry->running = true;
    lock.unlock();
    entry->function();
    lock.lock();
    entry->running = false;
    callback_ended.notify_all();
}

void thread_timer_service::state::cancel(const std::shared_ptr<timer>& entry) {
    std::unique_lock lock(mutex);
    entry->cancelled = true;
    for (auto place = due.begin(); place != due.end();) {
        place = place->second == entry ? due.erase(place) : std::next(place);
    }
    if (std::this_thread::get_id() == runner) {
        return;
    }
    callback_ended.wait(lock, [&entry] { return !entry->running; });
}

namespace {

template <class State>
class subscription final : public timer_subscription {
public:
    subscription(std::shared_ptr<State> state, std::shared_ptr<timer> entry)
        : state_(std::move(state)), entry_(std::move(entry)) {}
    ~subscription() override { state_->cancel(entry_); }
    subscription(const subscription&) = delete;
    subscription& operator=(const subscription&) = delete;

private:
    std::shared_ptr<State> state_;
    std::shared_ptr<timer> entry_;
};

template <class State>
std::unique_ptr<timer_subscription> add_timer(const std::shared_ptr<State>& state, micros delay,
                                              micros period, timer_service::callback function) {
    auto entry = std::make_shared<timer>();
    entry->function = std::move(function);
    entry->period = period;
    {
        const std::lock_guard lock(state->mutex);
        state->due.emplace(steady::now() + delay, entry);
    }
    state->changed.notify_all();
    return std::make_unique<subscription<State>>(state, entry);
}

} // namespace

thread_timer_service::thread_timer_service() : state_(std::make_shared<state>()) {
    state_->thread = std::thread([shared = state_.get()] { shared->run(); });
}

thread_timer_service::~thread_timer_service() {
    {
        const std::lock_guard lock(state_->mutex);
        state_->stopping = true;
    }
    state_->changed.notify_all();
    state_->thread.join();
}

std::unique_ptr<timer_subscription> thread_timer_service::do_once(micros delay, callback function) {
    return add_timer(state_, delay, micros{0}, std::move(function));
}

std::unique_ptr<timer_subscription>
thread_timer_service::do_every(micros period, micros first_delay, callback function) {
    return add_timer(state_, first_delay, period, std::move(function));
}

} // namespace jujubetide
