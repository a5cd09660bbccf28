#include "bench_system.h"

#include "jujubetide/http/http_client.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/settings_store.h"
#include "jujubetide/settings/sha256.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace jujubetide {
namespace {

/// Reads the kernel's `stat` of a process; its fields are counted from 1 in the kernel's page.
process_use use_of(pid_t process) {
    constexpr int first_after_name = 3;
    constexpr int user_ticks = 14;
    constexpr int system_ticks = 15;
    constexpr int thread_count = 20;
    constexpr int resident_pages = 24;
    std::ifstream file(absl::StrCat("/proc/", process, "/stat"));
    std::string text;
    std::getline(file, text);
    std::istringstream rest(text.substr(text.rfind(')') + 1));
    process_use use;
    std::string field;
    for (int number = first_after_name; rest >> field; ++number) {
        if (number == user_ticks || number == system_ticks) {
            use.processor_seconds += std::stod(field) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        } else if (number == thread_count) {
            use.threads = std::stoul(field);
        } else if (number == resident_pages) {
            use.resident_kb =
                std::stoul(field) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1'024;
        }
    }
    return use;
}

} // namespace

bench_system::bench_system(const bench_system_options& options) : options_(options) {
    folder_ = (std::filesystem::temp_directory_path() / absl::StrCat("bench-system-", ::getpid()))
                  .string();
    std::filesystem::create_directories(folder_);
    platform_ = std::make_unique<child_process>("platform-standin", std::vector<std::string>{});
    for (std::size_t i = 0; i < options.engines; ++i) {
        engines_.push_back(std::make_unique<child_process>(
            "engine-standin",
            std::vector<std::string>{"--max-running", std::to_string(options.max_running),
                                     "--first-piece-ms", std::to_string(options.first_piece_ms),
                                     "--between-pieces-ms",
                                     std::to_string(options.between_pieces_ms)}));
    }
}

bench_system::~bench_system() {
    entries_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

absl::Status bench_system::start() {
    if (absl::Status written = write_settings(); !written.ok()) {
        return written;
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
        if (absl::Status started = start_entry(i); !started.ok()) {
            return started;
        }
    }
    return absl::OkStatus();
}

endpoint bench_system::entry(std::size_t number) const {
    return *parse_endpoint(entries_[number % entries_.size()]->listening());
}

endpoint bench_system::engine(std::size_t number) const {
    return *parse_endpoint(engines_[number % engines_.size()]->listening());
}

process_use bench_system::entry_use(std::size_t number) const {
    return use_of(entries_[number % entries_.size()]->pid());
}

absl::Status bench_system::write_settings() const {
    settings_change change;
    change.id = change_id("first");
    change.author = operator_id("bench");
    change.edits["/teams/t/services/chat"] = absl::StrCat(
        "kind: model\nversion: v1\nfirst_piece_target_ms: ", options_.first_piece_target_ms,
        "\nroutes:\n  - id: chat\n");
    change.edits["/teams/t/customers/c"] =
        absl::StrCat("key_sha256: ", sha256_hex(key), "\nservices: [chat]\n");
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        change.edits[absl::StrCat("/teams/t/backends/chat-", i)] = absl::StrCat(
            "service: chat\nversion: v1\naddress: ", engines_[i]->listening(), "\nhost: h", i,
            "\nfailure_domain: d", i, "\nmax_running: ", options_.max_running, "\n");
    }
    http_table rows(*parse_endpoint(platform_->listening()));
    return settings_store(rows).apply(change).status();
}

absl::Status bench_system::start_entry(std::size_t number) {
    constexpr int polls = 100;
    constexpr std::chrono::milliseconds poll{100};
    const std::string file = absl::StrCat(folder_, "/entry-", number, ".yaml");
    std::ofstream(file) << "node: entry-" << number << "\nhost: host-" << number
                        << "\nfailure_domain: d" << number << "\nregion: r\n"
                        << "listen: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\nplatform: "
                        << platform_->listening() << "\nhttp_threads: " << options_.http_threads
                        << "\nseeds: []\n";
    entries_.push_back(std::make_unique<child_process>(
        "jujubetide-entry", std::vector<std::string>{"--settings", file}));
    if (entries_.back()->listening().empty()) {
        return absl::UnavailableError("the entry did not start");
    }
    for (int i = 0; i < polls; ++i) {
        const auto answer = http_call(entry(number), "GET", "/readyz", "", {});
        if (answer.ok() && answer->status == 200) {
            return absl::OkStatus();
        }
        std::this_thread::sleep_for(poll);
    }
    return absl::UnavailableError("the entry is not ready");
}

} // namespace jujubetide
