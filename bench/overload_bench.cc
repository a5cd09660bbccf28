// Measures goodput, whole answers within their deadline, through an entry process before engine
// stand-ins of limited places, whose times and not the processor set the capacity: below capacity,
// far above it, with all engines slowed down, and once they have recovered.
#include "bench_system.h"
#include "standins/standin_caller.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubetide {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint32_t pieces = 20;
constexpr int first_piece_ms = 100;
constexpr int between_pieces_ms = 40;
constexpr double answer_seconds = (first_piece_ms + (pieces - 1) * between_pieces_ms) / 1e3;
/// Answers that begin later than this in a phase are counted, so that each phase is steady.
constexpr double settle_seconds = 4.0;

struct phase {
    const char* name;
    /// Offered requests, as a part of what the engines can do at full speed.
    double load;
    /// The engines take this many times as long.
    int slowdown;
};

struct phase_result {
    int asked = 0;
    int in_time = 0;
    std::map<std::string, int> others;
    int attempts = 0;
};

class overload_run {
public:
    overload_run(const bench_system& system, millis deadline, double seconds, double capacity)
        : system_(system), deadline_(deadline), seconds_(seconds), capacity_(capacity) {}

    phase_result run(const phase& one) {
        set_speed(one.slowdown);
        phase_result result;
        const int before = attempts();
        std::vector<std::thread> callers;
        const double rate = capacity_ * one.load;
        const auto begin = steady::now();
        for (int i = 0; i < static_cast<int>(rate * seconds_); ++i) {
            const auto due = std::chrono::duration<double>(i / rate);
            std::this_thread::sleep_until(begin +
                                          std::chrono::duration_cast<steady::duration>(due));
            const bool counted = due.count() >= settle_seconds;
            callers.emplace_back([this, counted, &result] { call(counted, result); });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        result.attempts = attempts() - before;
        return result;
    }

private:
    void call(bool counted, phase_result& result) {
        standin_caller caller(system_.entry(0), bench_system::key);
        caller.set_header("X-Deadline-Ms", std::to_string(deadline_.count()));
        const std::string prompt = absl::StrCat("call ", number_++);
        const auto sent = steady::now();
        const caller_answer answer = caller.stream("chat", prompt, pieces);
        const bool in_time = answer.whole && steady::now() - sent <= deadline_;
        const std::lock_guard lock(mutex_);
        if (!counted) {
            return;
        }
        ++result.asked;
        result.in_time += in_time ? 1 : 0;
        if (!in_time) {
            ++result.others[answer.whole ? "late" : answer.code + "/" + answer.outcome];
        }
    }

    void set_speed(int slowdown) const {
        const std::string body =
            absl::StrCat(R"({"first_piece_ms": )", first_piece_ms * slowdown,
                         R"(, "between_pieces_ms": )", between_pieces_ms * slowdown, "}");
        for (std::size_t i = 0; i < system_.engine_count(); ++i) {
            (void)http_call(system_.engine(i), "POST", "/faults", body, {});
        }
    }

    [[nodiscard]] int attempts() const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < system_.engine_count(); ++i) {
            const auto state = http_call(system_.engine(i), "GET", "/v1/state", "", {});
            if (state.ok()) {
                count += nlohmann::json::parse(state->body)["executions_by_attempt"].size();
            }
        }
        return static_cast<int>(count);
    }

    const bench_system& system_;
    millis deadline_;
    double seconds_;
    double capacity_;
    std::mutex mutex_;
    std::atomic<int> number_{0};
};

void print(const phase& one, const phase_result& result, double seconds) {
    std::printf("%-28s offered %6.1f/s  goodput %6.1f/s  attempts %5d ", one.name,
                result.asked / seconds, result.in_time / seconds, result.attempts);
    for (const auto& [name, count] : result.others) {
        std::printf(" %s %d", name.c_str(), count);
    }
    std::printf("\n");
    std::fflush(stdout);
}

int run_bench(std::size_t engines, unsigned places, int deadline_ms, double seconds) {
    bench_system_options options;
    options.engines = engines;
    options.max_running = places;
    options.first_piece_ms = first_piece_ms;
    options.between_pieces_ms = between_pieces_ms;
    bench_system system(options);
    if (const absl::Status started = system.start(); !started.ok()) {
        std::fprintf(stderr, "%s\n", std::string(started.message()).c_str());
        return 1;
    }
    const double capacity = static_cast<double>(engines * places) / answer_seconds;
    std::printf("capacity %.1f/s at full speed, deadline %d ms\n", capacity, deadline_ms);
    overload_run measured(system, millis(deadline_ms), seconds, capacity);
    const std::vector<phase> phases{{"just below overload", 0.9, 1},
                                    {"twice the capacity", 2.0, 1},
                                    {"half speed, just below", 0.45, 2},
                                    {"half speed, all the load", 0.9, 2},
                                    {"recovered", 0.9, 1}};
    for (const phase& one : phases) {
        print(one, measured.run(one), seconds - settle_seconds);
    }
    return 0;
}

} // namespace
} // namespace jujubetide

int main(int argc, char** argv) {
    TCLAP::CmdLine command("Measures goodput in overload.", ' ', "0.1");
    TCLAP::ValueArg<std::size_t> engines("", "engines", "Engines", false, 4, "number", command);
    TCLAP::ValueArg<unsigned> places("", "places", "Attempts that an engine runs at once", false, 8,
                                     "number", command);
    TCLAP::ValueArg<int> deadline("", "deadline-ms", "Deadline of each call", false, 3'000, "MS",
                                  command);
    TCLAP::ValueArg<double> seconds("", "seconds", "Length of each phase", false, 9.0, "S",
                                    command);
    command.parse(argc, argv);
    return jujubetide::run_bench(engines.getValue(), places.getValue(), deadline.getValue(),
                                 seconds.getValue());
}
