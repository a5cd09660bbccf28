#include "entry_fixture.h"

#include "jujubetide/base/random_source.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <iostream>

using namespace jujubetide;

namespace {

constexpr std::uint32_t pieces = 12;
constexpr std::uint64_t fault_seed = 7;
/// More than the ten that the retry budget of a tenth lets each retry have.
constexpr int answers_for_each_fault = 12;

struct tally {
    std::atomic<int> whole{0};
    std::atomic<int> wrong{0};
    std::atomic<int> refused_not_run{0};
    std::atomic<int> failed{0};

    [[nodiscard]] int ended() const { return whole + wrong + refused_not_run + failed; }
    /// Counts the answers that are not whole by what callers saw.
    void note(const caller_answer& answer) {
        const std::lock_guard lock(mutex_);
        ++seen_[std::to_string(answer.status) + " " + answer.outcome + " " + answer.code + " " +
                answer.error];
    }
    [[nodiscard]] std::string text() const {
        std::string lines;
        for (const auto& [what, count] : seen_) {
            lines += std::to_string(count) + " x " + what + "\n";
        }
        return lines;
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> seen_;
};

/// Runs `count` streams on `threads` callers at once, each with a prompt that names its request.
void run_streams(entry_fixture& system, int count, int threads, std::uint32_t length,
                 tally& results) {
    std::atomic<int> next{0};
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(threads));
    for (int t = 0; t < threads; ++t) {
        callers.emplace_back([&] {
            for (int i = next++; i < count; i = next++) {
                const std::string prompt = "request number " + std::to_string(i);
                const caller_answer answer = system.caller().stream("chat", prompt, length);
                if (!answer.whole) {
                    results.note(answer);
                    ++(answer.outcome == "not_run" ? results.refused_not_run : results.failed);
                } else {
                    ++(answer.text == standin_answer(prompt, length) ? results.whole
                                                                     : results.wrong);
                }
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
}

const std::vector<std::pair<std::string, engine_fault>> every_fault{
    {"fail before run", engine_fault::fail_before_run},
    {"refuse", engine_fault::refuse_not_run},
    {"end early", engine_fault::end_early},
    {"stall", engine_fault::stall},
    {"repeat", engine_fault::repeat_piece},
    {"cross", engine_fault::cross_pieces},
    {"skip", engine_fault::skip_piece},
    {"wrong attempt", engine_fault::wrong_attempt},
    {"late", engine_fault::late_pieces},
    {"tear", engine_fault::tear_piece},
};

} // namespace

TEST_CASE("every fault of an engine still gives the caller its whole answer") {
    for (const auto& [name, fault] : every_fault) {
        INFO(name);
        entry_fixture system;
        // The router tries the engines in their order: the last one is sound.
        for (std::size_t i = 0; i + 1 < system.engines.size(); ++i) {
            system.engines[i]->set_fault(fault, {1, 2, millis{60}});
        }
        const caller_answer answer = system.caller().stream("chat", name, pieces);
        INFO(answer.code << " " << answer.error);
        CHECK(answer.whole);
        CHECK(answer.text == standin_answer(name, pieces));
    }
}

TEST_CASE("a thousand streams each get their own whole answer while engines fail") {
    entry_fixture system(4);
    tally results;
    std::atomic<bool> done{false};
    int injected = 0;
    std::thread faults([&system, &done, &results, &injected] {
        // Faults that meet answers which have begun; each meets one call.
        const std::vector<engine_fault> kinds{
            engine_fault::end_early,  engine_fault::repeat_piece,  engine_fault::cross_pieces,
            engine_fault::skip_piece, engine_fault::wrong_attempt, engine_fault::late_pieces,
            engine_fault::tear_piece};
        seeded_random random(fault_seed);
        while (!done) {
            // Paced by the answers, so that the retries that the faults cost stay within the
            // budget at any speed of the machine.
            if (results.ended() < injected * answers_for_each_fault) {
                std::this_thread::sleep_for(millis{1});
                continue;
            }
            const auto kind = kinds[random.below(kinds.size())];
            system.engines[random.below(system.engines.size())]->set_fault(
                kind, {1, 1 + random.below(pieces - 2), millis{10}});
            ++injected;
        }
    });
    run_streams(system, 1'000, 32, pieces, results);
    done = true;
    faults.join();
    std::cout << "faults: seed " << fault_seed << "\n";
    INFO(results.text());
    CHECK(injected >= 1'000 / answers_for_each_fault);
    CHECK(results.wrong == 0);
    CHECK(results.whole == 1'000);
}

TEST_CASE("streams survive the announced loss of one failure domain and then a second") {
    entry_fixture system(3);
    for (const auto& engine : system.engines) {
        standin_engine_knobs slow;
        slow.between_pieces = millis{30};
        engine->set_knobs(slow);
    }
    tally results;
    constexpr std::uint32_t long_answer = 120;
    std::thread streams([&] { run_streams(system, 24, 24, long_answer, results); });
    const bool all_running = wait_until([&system] { return system.running_engines() == 24; });
    system.leave_host_of_engine(0);
    const bool left = wait_until([&system] { return system.engines[0]->running() == 0; });
    system.leave_host_of_engine(1);
    streams.join();
    INFO(results.text());
    CHECK(all_running);
    CHECK(left);
    CHECK(results.whole == 24);
}

TEST_CASE("an engine that stops in the middle is replaced from the offset") {
    entry_fixture system(2);
    standin_engine_knobs slow;
    slow.between_pieces = millis{20};
    for (const auto& engine : system.engines) {
        engine->set_knobs(slow);
    }
    const std::string prompt = "stopped";
    const caller_answer answer =
        system.caller().stream("chat", prompt, 30, [&system](std::size_t count) {
            if (count == 5) {
                const std::size_t running = system.engines[0]->running() > 0 ? 0 : 1;
                system.engines[running]->set_fault(engine_fault::refuse_not_run, {-1, 0, {}});
                system.leave_host_of_engine(running);
            }
            return true;
        });
    CHECK(answer.whole);
    CHECK(answer.text == standin_answer(prompt, 30));
}

TEST_CASE("retries stay within the budget while one engine fails every call") {
    entry_fixture system(2);
    system.engines[0]->set_fault(engine_fault::fail_before_run, {-1, 0, {}});
    tally results;
    constexpr int count = 400;
    run_streams(system, count, 8, pieces, results);
    const std::string metrics =
        http_call(system.entries[0]->server().address(), "GET", "/metrics", "", {})->body;
    const std::string name = "jujubetide_retries_total{service=\"chat\"} ";
    const std::size_t at = metrics.find(name);
    const double retries =
        at == std::string::npos ? 0.0 : std::stod(metrics.substr(at + name.size()));
    CHECK(retries <= 0.1 * count + retry_budget::initial_tokens);
    CHECK(results.wrong == 0);
}
