#pragma once

#include "support/child_process.h"

#include "jujubetide/base/endpoint.h"

#include <absl/status/status.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

struct bench_system_options {
    std::size_t entries = 1;
    std::size_t engines = 4;
    /// Attempts that each engine runs at once.
    unsigned max_running = 8;
    int first_piece_ms = 2;
    int between_pieces_ms = 20;
    int first_piece_target_ms = 2'000;
    std::size_t http_threads = 512;
};

/// What a process has used so far.
struct process_use {
    double processor_seconds = 0.0;
    std::size_t threads = 0;
    std::size_t resident_kb = 0;
};

/// The system as separate processes: the platform and model engines as stand-ins, each engine in a
/// failure domain of its own, and entries before them. The service is called "chat".
class bench_system {
public:
    static constexpr const char* key = "customer-key";

    explicit bench_system(const bench_system_options& options);
    ~bench_system();
    bench_system(const bench_system&) = delete;
    bench_system& operator=(const bench_system&) = delete;

    /// Writes the settings, starts the entries and waits until they are ready.
    absl::Status start();
    [[nodiscard]] endpoint entry(std::size_t number) const;
    [[nodiscard]] endpoint engine(std::size_t number) const;
    [[nodiscard]] process_use entry_use(std::size_t number) const;
    [[nodiscard]] std::size_t engine_count() const { return engines_.size(); }

private:
    absl::Status write_settings() const;
    absl::Status start_entry(std::size_t number);

    bench_system_options options_;
    std::string folder_;
    std::unique_ptr<child_process> platform_;
    std::vector<std::unique_ptr<child_process>> engines_;
    std::vector<std::unique_ptr<child_process>> entries_;
};

} // namespace jujubetide
