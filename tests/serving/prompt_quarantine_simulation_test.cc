// Nodes that place calls at random engines and exchange their suspicions, with loss, while some
// calls crash the engine that begins to answer them and other engines crash by themselves.
#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/prompt_quarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace jujubetide;

namespace {

constexpr millis step{10};
constexpr millis heartbeat_period{300};
/// Nodes must have stopped calls with the part this long after the fifth crash, but for three.
constexpr millis contact_time{3'000};
constexpr int max_crashes = 5;
constexpr int max_calls_after_crashes = 3;
constexpr double heartbeat_loss = 0.05;

struct simulation_options {
    int nodes = 6;
    int engines = 20;
    double calls_per_step = 0.6;
    /// Share of calls with the crashing part.
    double crashing_share = 0.05;
    /// Engines that crash by themselves, each `failure_period`.
    int failing_engines = 0;
    millis failure_period{4'000};
    /// Whether a call that crashed an engine is sent to a second one.
    bool repeats = false;
};

class quarantine_simulation {
public:
    quarantine_simulation(const simulation_options& options, std::uint64_t seed)
        : options_(options), random_(seed), runs_(static_cast<std::size_t>(options.engines), 0) {
        for (int i = 0; i < options.nodes; ++i) {
            nodes_.push_back(std::make_unique<prompt_quarantine>(random_));
        }
    }

    void run(millis duration) {
        for (millis t{0}; t < duration; t += step) {
            now_ += step;
            if (random_.uniform() < options_.calls_per_step) {
                start_call();
            }
            answer_calls();
            if (options_.failing_engines > 0 && t % options_.failure_period < step) {
                fail_engines();
            }
            if (t % heartbeat_period < step) {
                for (std::size_t node = 0; node < nodes_.size(); ++node) {
                    send_heartbeat(node);
                }
            }
        }
    }

    int crashes = 0;
    int late_crashing_calls = 0;
    int sound_calls = 0;
    int blocked_sound_calls = 0;

private:
    struct call {
        std::size_t node = 0;
        std::size_t engine = 0;
        std::vector<prompt_part> parts;
        bool crashes = false;
        bool is_repeat = false;
        time_point answered_at{};
    };

    void start_call() {
        call made;
        made.node = random_.below(nodes_.size());
        made.crashes = random_.uniform() < options_.crashing_share;
        constexpr std::size_t shared_prompts = 5;
        constexpr std::size_t sessions = 200;
        const std::string shared = "shared" + std::to_string(random_.below(shared_prompts));
        const std::string session = "session" + std::to_string(random_.below(sessions));
        made.parts = {{made.crashes ? "shared0" : shared, 100},
                      {made.crashes ? "bad" : session, 100},
                      {"own", 100}};
        sound_calls += made.crashes ? 0 : 1;
        send(std::move(made));
    }

    void send(call sent) {
        if (nodes_[sent.node]->admit(sent.parts, now_)) {
            blocked_sound_calls += sent.crashes ? 0 : 1;
            return;
        }
        if (sent.crashes && fifth_crash_ && now_ - *fifth_crash_ > contact_time) {
            ++late_crashing_calls;
        }
        constexpr double max_prefill_ms = 800.0;
        sent.engine = random_.below(runs_.size());
        sent.answered_at = now_ + millis(50 + static_cast<int>(random_.uniform() * max_prefill_ms));
        calls_.push_back(std::move(sent));
    }

    void answer_calls() {
        std::vector<call> due;
        std::erase_if(calls_, [&](const call& item) {
            if (item.answered_at <= now_) {
                due.push_back(item);
            }
            return item.answered_at <= now_;
        });
        for (const call& item : due) {
            if (item.crashes) {
                calls_.push_back(item);
                ++crashes;
                if (crashes == max_crashes) {
                    fifth_crash_ = now_;
                }
                crash(item.engine);
            } else {
                nodes_[item.node]->on_answered(item.parts, now_);
            }
        }
    }

    void crash(std::size_t engine) {
        const server_run_id run("i-" + std::to_string(engine) + "/" +
                                std::to_string(runs_[engine]++));
        std::vector<call> broken;
        std::erase_if(calls_, [&](const call& item) {
            if (item.engine == engine) {
                broken.push_back(item);
            }
            return item.engine == engine;
        });
        std::set<std::size_t> urgent;
        for (const call& item : broken) {
            if (nodes_[item.node]->on_crash(run, item.parts, now_)) {
                urgent.insert(item.node);
            }
        }
        for (const std::size_t node : urgent) {
            send_heartbeat(node);
        }
        for (call& item : broken) {
            if ((options_.repeats || !item.crashes) && !std::exchange(item.is_repeat, true)) {
                send(std::move(item));
            }
        }
    }

    void fail_engines() {
        for (int i = 0; i < options_.failing_engines; ++i) {
            crash(random_.below(runs_.size()));
        }
    }

    void send_heartbeat(std::size_t node) {
        const std::vector<prompt_suspicion> suspicions = nodes_[node]->suspicions(now_);
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (other != node && random_.uniform() >= heartbeat_loss) {
                nodes_[other]->on_peer_suspicions(suspicions, now_);
            }
        }
    }

    simulation_options options_;
    seeded_random random_;
    time_point now_ = time_point{} + std::chrono::hours(1);
    std::vector<std::unique_ptr<prompt_quarantine>> nodes_;
    /// Restarts of each engine.
    std::vector<int> runs_;
    std::vector<call> calls_;
    std::optional<time_point> fifth_crash_;
};

constexpr std::uint64_t seeds = 50;
constexpr millis day{50'000};

void check_bounds(const simulation_options& options) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        quarantine_simulation simulation(options, seed);
        simulation.run(day);
        CHECK(simulation.late_crashing_calls <= max_calls_after_crashes);
        // Sound calls must begin at least half as often as before; 1 in 50 is far from that.
        CHECK(simulation.blocked_sound_calls * 50 <= simulation.sound_calls);
    }
}

} // namespace

TEST_CASE("simulation: calls that crash engines are stopped at few and at many nodes") {
    simulation_options options;
    check_bounds(options);
    options.nodes = 72;
    options.engines = 95;
    options.calls_per_step = 4.0;
    check_bounds(options);
}

TEST_CASE("simulation: repeated calls and rare ones are stopped as well") {
    simulation_options options;
    options.repeats = true;
    check_bounds(options);
    options.crashing_share = 0.005;
    check_bounds(options);
    options.crashing_share = 0.5;
    check_bounds(options);
}

TEST_CASE("simulation: engines that crash by themselves do not block sound calls") {
    simulation_options options;
    options.failing_engines = 6;
    check_bounds(options);
    options.crashing_share = 0.0;
    check_bounds(options);
}
