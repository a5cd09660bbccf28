// Measures what an entry adds: time to the first piece, pieces a second and processor time, with
// many streams at once through one entry process, against direct calls to the same engine
// stand-ins.
#include "bench_system.h"
#include "standins/standin_answer.h"
#include "standins/standin_caller.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/edge/thread_timer_service.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace jujubetide {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::chrono::milliseconds start_interval{5};
/// Of each engine: more than the streams, so that none waits for a place.
constexpr unsigned max_running = 128;

struct bench_options {
    std::size_t streams = 200;
    std::size_t requests = 2'000;
    std::uint32_t pieces = 50;
    int between_pieces_ms = 20;
};

struct bench_result {
    std::vector<double> first_piece_ms;
    std::uint64_t pieces = 0;
    std::uint64_t broken = 0;
    double seconds = 0.0;

    [[nodiscard]] double quantile(double part) const {
        return first_piece_ms[static_cast<std::size_t>(
            part * static_cast<double>(first_piece_ms.size() - 1))];
    }
};

/// One request: returns whether its answer was whole, and calls `on_first` at its first piece.
using one_request = std::function<bool(std::size_t number, const std::function<void()>& on_first)>;

bench_result run_streams(const bench_options& options, const one_request& request) {
    bench_result result;
    std::mutex mutex;
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    const auto begin = steady::now();
    for (std::size_t i = 0; i < options.streams; ++i) {
        threads.emplace_back([&, i] {
            // The streams begin one after the other, so that no burst of connections is measured.
            std::this_thread::sleep_for(i * start_interval);
            for (std::size_t number = next++; number < options.requests; number = next++) {
                const auto sent = steady::now();
                double first_ms = 0.0;
                const bool whole = request(number, [&] {
                    first_ms =
                        std::chrono::duration<double, std::milli>(steady::now() - sent).count();
                });
                const std::lock_guard lock(mutex);
                result.first_piece_ms.push_back(first_ms);
                result.pieces += whole ? options.pieces : 0;
                result.broken += whole ? 0 : 1;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    result.seconds = std::chrono::duration<double>(steady::now() - begin).count();
    std::sort(result.first_piece_ms.begin(), result.first_piece_ms.end());
    return result;
}

std::string prompt_of(std::size_t number) {
    return absl::StrCat("request ", number, " of the measurement");
}

class piece_checker final : public engine_receiver {
public:
    piece_checker(std::string prompt, const std::function<void()>& on_first)
        : prompt_(std::move(prompt)), on_first_(on_first) {}
    [[nodiscard]] std::uint32_t good() const { return good_; }

protected:
    bool do_on_piece(const engine_piece& piece) override {
        if (good_ == 0) {
            on_first_();
        }
        good_ += piece.text == standin_answer_piece(prompt_, piece.offset.value()) ? 1 : 0;
        return true;
    }
    bool do_on_idle() override { return true; }

private:
    std::string prompt_;
    const std::function<void()>& on_first_;
    std::uint32_t good_ = 0;
};

void print(const char* name, const bench_result& result) {
    std::printf("%-8s %9.2f %9.2f %9.2f %11.0f %8llu %7.1f\n", name, result.quantile(0.5),
                result.quantile(0.95), result.quantile(0.99),
                static_cast<double>(result.pieces) / result.seconds,
                static_cast<unsigned long long>(result.broken), result.seconds);
    std::fflush(stdout);
}

int run_bench(const bench_options& options) {
    bench_system_options wanted;
    wanted.max_running = max_running;
    wanted.between_pieces_ms = options.between_pieces_ms;
    bench_system system(wanted);
    if (const absl::Status started = system.start(); !started.ok()) {
        std::fprintf(stderr, "%s\n", std::string(started.message()).c_str());
        return 1;
    }
    thread_timer_service timers;
    http_engine_client client(timers);
    const auto direct = run_streams(options, [&](std::size_t number, const auto& on_first) {
        engine_request request;
        request.attempt = attempt_id(absl::StrCat("direct-", number));
        request.request = request_id(absl::StrCat("direct-", number));
        request.version = version_id("v1");
        request.prompt = prompt_of(number);
        request.max_pieces = options.pieces;
        request.time_left = millis(60'000);
        piece_checker receiver(request.prompt, on_first);
        const engine_result ended = client.run(system.engine(number), request, receiver);
        return ended.outcome == engine_outcome::completed && receiver.good() == options.pieces;
    });
    const process_use before = system.entry_use(0);
    const auto entry = run_streams(options, [&](std::size_t number, const auto& on_first) {
        standin_caller caller(system.entry(0), bench_system::key);
        const caller_answer answer =
            caller.stream("chat", prompt_of(number), options.pieces, [&](std::size_t pieces) {
                if (pieces == 1) {
                    on_first();
                }
                return true;
            });
        return answer.whole && answer.pieces.size() == options.pieces;
    });
    const process_use after = system.entry_use(0);
    std::printf("%-8s %9s %9s %9s %11s %8s %7s\n", "path", "p50 ms", "p95 ms", "p99 ms", "pieces/s",
                "broken", "s");
    print("direct", direct);
    print("entry", entry);
    std::printf("added p99 %.2f ms; throughput %.3f of direct\n",
                entry.quantile(0.99) - direct.quantile(0.99),
                static_cast<double>(entry.pieces) / entry.seconds /
                    (static_cast<double>(direct.pieces) / direct.seconds));
    std::printf("entry process: %.0f us a piece, %zu threads, %zu KB resident\n",
                (after.processor_seconds - before.processor_seconds) * 1e6 /
                    static_cast<double>(entry.pieces),
                after.threads, after.resident_kb);
    return 0;
}

} // namespace
} // namespace jujubetide

int main(int argc, char** argv) {
    TCLAP::CmdLine command("Measures what an entry adds to direct calls.", ' ', "0.1");
    TCLAP::ValueArg<std::size_t> streams("", "streams", "Streams at once", false, 200, "number",
                                         command);
    TCLAP::ValueArg<std::size_t> requests("", "requests", "Requests of each run", false, 2'000,
                                          "number", command);
    TCLAP::ValueArg<int> between("", "between-pieces-ms", "Time between pieces", false, 20, "MS",
                                 command);
    command.parse(argc, argv);
    jujubetide::bench_options options;
    options.streams = streams.getValue();
    options.requests = requests.getValue();
    options.between_pieces_ms = between.getValue();
    return jujubetide::run_bench(options);
}
