// The decision code of the request path on a fake clock, before engines that run a limited number
// of attempts at once and let the others wait in order: routing, admission, retry budget and the
// request machine as an entry drives them, beside a version without admission and budget.
#include "model/serving_model.h"

#include "jujubetide/limits/answer_time.h"
#include "jujubetide/limits/retry_budget.h"
#include "jujubetide/limits/share_admission.h"
#include "jujubetide/request/request_machine.h"
#include "jujubetide/routing/prefix_router.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

using namespace jujubetide;

namespace {

constexpr unsigned seed = 20261204;
constexpr std::uint32_t pieces = 20;
constexpr micros first_piece_time{100'000};
constexpr micros piece_interval{40'000};
constexpr micros answer_duration = first_piece_time + (pieces - 1) * piece_interval;
constexpr micros short_deadline{3'000'000};
constexpr micros report_period{1'000'000};
constexpr micros report_delay{500'000};
constexpr micros tick{100'000};
constexpr micros settle_time{5'000'000};
constexpr micros measured_time{30'000'000};

struct fleet_size {
    std::size_t engines;
    std::size_t places;
    [[nodiscard]] double capacity() const {
        return static_cast<double>(engines * places) /
               std::chrono::duration<double>(answer_duration).count();
    }
};

enum class care {
    full,
    /// Admission asks only whether the answer can begin before its deadline.
    begin_only,
    /// No admission and no retry budget.
    none,
};

class overload_simulation {
public:
    overload_simulation(const fleet_size& size, care careful,
                        micros deadline_after = short_deadline)
        : size_(size), careful_(careful), deadline_after_(deadline_after), engines_(size.engines) {
        for (std::size_t i = 0; i < size.engines; ++i) {
            backend_server_settings& server = engines_[i].settings;
            server.id = backend_server_id("engine-" + std::to_string(i));
            server.service = service;
            server.version = version_id("v1");
            server.host = host_id("host-" + std::to_string(i));
            server.failure_domain = failure_domain_id("d" + std::to_string(i));
            server.max_running = size.places;
        }
        for (const engine& one : engines_) {
            candidates_.push_back(&one.settings);
        }
        report_loads();
    }

    /// Offers `load` times the full speed's capacity while engines take `slowdown` times as long;
    /// returns the goodput as a part of that capacity.
    double goodput(double load, int slowdown) {
        slowdown_ = slowdown;
        const time_point measured_from = clock_.now() + settle_time;
        const time_point end = measured_from + measured_time;
        arrive_until(end, load);
        in_time_ = 0;
        measured_from_ = measured_from;
        while (!events_.empty() && events_.top().when <= end) {
            const event next = events_.top();
            events_.pop();
            clock_.set(next.when);
            next.action();
        }
        clock_.set(end);
        return in_time_ / std::chrono::duration<double>(measured_time).count() / size_.capacity();
    }

    std::uint64_t attempts = 0;
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct request;
    struct attempt {
        request* owner;
        attempt_id id;
        bool cancelled = false;
    };
    using attempt_ptr = std::shared_ptr<attempt>;
    struct engine {
        backend_server_settings settings;
        std::set<attempt_ptr> running;
        std::deque<attempt_ptr> waiting;
        std::uint64_t reports = 0;
    };
    class allowance final : public retry_allowance {
    public:
        explicit allowance(overload_simulation& owner) : owner_(owner) {}

    protected:
        bool do_try_spend() override {
            return owner_.careful_ == care::none || owner_.retries_.try_spend(service);
        }

    private:
        overload_simulation& owner_;
    };
    struct request {
        request(request_start start, retry_allowance& retries)
            : machine(std::move(start), {}, retries) {}
        request_machine machine;
        route_query query;
        std::optional<route_choice> first_choice;
        route_choice choice;
        admission_query asked;
        attempt_ptr running;
        std::uint32_t attempt_pieces = 0;
        time_point first_piece_at{};
        time_point last_piece_at{};
    };

    void at(time_point when, std::function<void()> action) {
        events_.push({when, order_++, std::move(action)});
    }

    void arrive_until(time_point end, double load) {
        std::exponential_distribution<double> gap(size_.capacity() * load);
        for (time_point when = clock_.now(); when < end;
             when += micros(static_cast<std::int64_t>(gap(random_) * 1e6))) {
            at(when, [this] { arrive(); });
        }
    }

    void report_loads() {
        for (engine& one : engines_) {
            load_report load;
            load.sequence = sequence_number(++one.reports);
            load.running = static_cast<std::uint32_t>(one.running.size());
            load.waiting = static_cast<std::uint32_t>(one.waiting.size());
            load.max_running = static_cast<std::uint32_t>(size_.places);
            load.version = version_id("v1");
            at(clock_.now() + report_delay,
               [this, load, id = one.settings.id] { board_.report_load(id, load, clock_.now()); });
        }
        at(clock_.now() + report_period, [this] { report_loads(); });
    }

    void arrive() {
        const request_id id("r" + std::to_string(requests++));
        const time_point deadline = clock_.now() + deadline_after_;
        auto made = std::make_shared<request>(request_start{id, deadline, {}, 0, false}, retry_);
        made->query.request = id;
        made->query.service = service;
        made->query.version = version_id("v1");
        made->query.now = clock_.now();
        made->query.deadline = deadline;
        retries_.on_request(service, service_settings{}.retry_percent);
        const auto choice = routes_.choose(made->query, candidates_);
        if (!choice.ok()) {
            return;
        }
        admission_query& asked = made->asked;
        asked.service = service;
        asked.customer = customer_id("c");
        asked.estimated_first_piece = choice->estimated_first_piece;
        asked.first_piece_target = micros{2'000'000};
        asked.now = clock_.now();
        asked.deadline = deadline;
        if (careful_ == care::full) {
            asked.deadline -= answer_times_.expected(service, pieces, clock_.now());
        }
        if (careful_ != care::none && !limits_.decide(asked).admitted()) {
            return;
        }
        ++admitted;
        made->first_choice = *choice;
        kept_.push_back(made);
        carry_out(*made, made->machine.on_begin(clock_.now()));
        at(clock_.now() + tick, [this, made] { tick_request(*made); });
    }

    void tick_request(request& one) {
        carry_out(one, one.machine.on_tick(clock_.now()));
        if (!one.machine.is_over()) {
            at(clock_.now() + tick, [this, &one] { tick_request(one); });
        }
    }

    void carry_out(request& one, const request_actions& actions) {
        for (const request_action& action : actions) {
            std::visit([&](const auto& what) { apply(one, what); }, action);
        }
    }

    void apply(request& one, const choose_server& wish) {
        one.query.avoid_domain = wish.avoid_domain;
        one.query.tried = wish.tried;
        one.query.now = clock_.now();
        const auto first = std::exchange(one.first_choice, std::nullopt);
        const auto choice =
            first ? absl::StatusOr<route_choice>(*first) : routes_.choose(one.query, candidates_);
        if (!choice.ok()) {
            carry_out(one, one.machine.on_no_server(millis{100}, clock_.now()));
            return;
        }
        one.choice = *choice;
        const engine& server = engine_of(choice->server);
        carry_out(one, one.machine.on_server_chosen(choice->server, server.settings.failure_domain,
                                                    clock_.now()));
    }
    void apply(request& one, const wait_for_server& wait) {
        at(clock_.now() + wait.delay,
           [this, &one] { carry_out(one, one.machine.on_waited(clock_.now())); });
    }
    void apply(request& one, const start_attempt& start) {
        ++attempts;
        routes_.on_sent(one.query, one.choice);
        one.attempt_pieces = 0;
        one.running = std::make_shared<attempt>(attempt{&one, start.attempt});
        engine& server = engine_of(one.choice.server);
        server.waiting.push_back(one.running);
        fill(server);
    }
    void apply(request& one, const end_attempt& end) {
        const bool completed = end.end == attempt_end::completed;
        routes_.on_finished(one.query, one.choice, token_count(), completed);
        answer_times_.on_attempt(service, one.attempt_pieces,
                                 one.last_piece_at - one.first_piece_at, clock_.now());
        one.running->cancelled = true;
        engine& server = engine_of(one.choice.server);
        server.running.erase(one.running);
        fill(server);
    }
    void apply(request& one, const deliver_piece& /*piece*/) {
        one.last_piece_at = clock_.now();
        if (one.attempt_pieces++ == 0) {
            one.first_piece_at = clock_.now();
            routes_.on_first_piece(one.query, one.choice);
        }
    }
    void apply(request& one, const finish_answer& end) {
        answer_times_.on_whole(service, end.total.value());
        limits_.on_finished(one.asked, clock_.now());
        in_time_ += clock_.now() >= measured_from_ ? 1.0 : 0.0;
    }
    void apply(request& one, const refuse_request& /*refusal*/) {
        limits_.on_finished(one.asked, clock_.now());
    }
    void apply(request& /*one*/, const hand_over_request& /*action*/) {}
    void apply(request& /*one*/, const tell_moved& /*action*/) {}

    engine& engine_of(const backend_server_id& id) {
        return engines_[std::stoul(id.str().substr(std::string("engine-").size()))];
    }

    void fill(engine& server) {
        std::erase_if(server.waiting, [](const attempt_ptr& one) { return one->cancelled; });
        while (server.running.size() < size_.places && !server.waiting.empty()) {
            const attempt_ptr next = server.waiting.front();
            server.waiting.pop_front();
            server.running.insert(next);
            at(clock_.now() + first_piece_time * slowdown_,
               [this, next] { give_piece(next, piece_offset(0)); });
        }
    }

    void give_piece(const attempt_ptr& from, piece_offset offset) {
        if (from->cancelled) {
            return;
        }
        request& owner = *from->owner;
        const piece_offset after = offset.next();
        carry_out(owner, owner.machine.on_piece({from->id, offset, "x"}, clock_.now()));
        if (after.value() < pieces) {
            at(clock_.now() + piece_interval * slowdown_,
               [this, from, after] { give_piece(from, after); });
            return;
        }
        engine_result done;
        done.outcome = engine_outcome::completed;
        done.total = after;
        carry_out(owner, owner.machine.on_attempt_ended(from->id, done, clock_.now()));
    }

    inline static const service_id service{"chat"};
    fleet_size size_;
    care careful_;
    micros deadline_after_;
    int slowdown_ = 1;
    model::run_clock clock_;
    std::mt19937_64 random_{seed};
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::vector<engine> engines_;
    std::vector<const backend_server_settings*> candidates_;
    backend_board board_;
    prefix_router routes_{board_, clock_};
    share_admission limits_;
    retry_budget retries_;
    answer_time answer_times_;
    allowance retry_{*this};
    std::vector<std::shared_ptr<request>> kept_;
    time_point measured_from_{};
    double in_time_ = 0.0;
};

void print(const char* name, const overload_simulation& run, double before, double during) {
    std::cout << name << ": goodput " << before << " of capacity before, " << during
              << " in overload; " << run.attempts << " attempts of " << run.admitted
              << " admitted of " << run.requests << " requests; seed " << seed << "\n";
}

const fleet_size small_fleet{4, 8};
const fleet_size large_fleet{40, 32};

} // namespace

TEST_CASE("simulation: goodput at twice the capacity is that just before overload") {
    for (const fleet_size& size : {small_fleet, large_fleet}) {
        overload_simulation run(size, care::full);
        const double before = run.goodput(0.9, 1);
        const double during = run.goodput(2.0, 1);
        print("twice the load", run, before, during);
        CHECK(during >= 0.9 * before);
    }
}

TEST_CASE("simulation: no retry storm when all engines slow down") {
    for (const fleet_size& size : {small_fleet, large_fleet}) {
        const double before = overload_simulation(size, care::full).goodput(0.45, 2);
        overload_simulation run(size, care::full);
        (void)run.goodput(0.9, 1);
        const double during = run.goodput(0.9, 2);
        print("half the speed", run, before, during);
        CHECK(during >= 0.9 * before);
        // The budget: a tenth of the requests, and what it begins with.
        const double retries = static_cast<double>(run.attempts - run.admitted);
        CHECK(retries <= 0.1 * static_cast<double>(run.requests) + retry_budget::initial_tokens);
    }
}

TEST_CASE("simulation: callers with the default deadline get their answers in overload too") {
    const micros deadline = service_settings{}.default_deadline;
    overload_simulation run(small_fleet, care::full, deadline);
    const double before = run.goodput(0.9, 1);
    const double during = run.goodput(2.0, 1);
    print("default deadline, twice the load", run, before, during);
    CHECK(during >= 0.9 * before);
    // The waits are long by now.
    CHECK(run.goodput(2.0, 1) >= 0.9 * before);
    CHECK(static_cast<double>(run.attempts - run.admitted) <=
          0.1 * static_cast<double>(run.requests) + retry_budget::initial_tokens);
}

TEST_CASE("simulation: admission by the answer's beginning alone loses goodput on slow engines") {
    const double before = overload_simulation(small_fleet, care::begin_only).goodput(0.45, 2);
    overload_simulation run(small_fleet, care::begin_only);
    (void)run.goodput(0.9, 1);
    const double during = run.goodput(0.9, 2);
    print("beginning only, half the speed", run, before, during);
    CHECK(during < 0.9 * before);
}

TEST_CASE("simulation: a naive path collapses in the same overload") {
    overload_simulation run(small_fleet, care::none);
    const double before = run.goodput(0.9, 1);
    const double during = run.goodput(2.0, 1);
    print("naive, twice the load", run, before, during);
    CHECK(during < 0.9 * before);
}
