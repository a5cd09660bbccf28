#include "support/eventually.h"
#include "system_fixture.h"

#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/settings_store.h"
#include "jujubetide/settings/sha256.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <set>
#include <thread>

using namespace jujubetide;
using nlohmann::json;

namespace {

constexpr const char* operator_key = "operator-key";
/// Longer than a move may last and a lease to change hands; only a hang reaches it.
constexpr std::chrono::seconds longest_move{240};

struct command_result {
    int code = -1;
    std::string out;
};

/// Runs jujubectl as a process of its own.
command_result jujubectl(const std::string& arguments, const endpoint& control) {
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    const std::string program = (self.parent_path().parent_path() / "bin" / "jujubectl").string();
    const std::string line = absl::StrCat("JUJUBETIDE_KEY=", operator_key, " ", program, " ",
                                          arguments, " --server ", control.str(), " 2>&1");
    command_result result;
    std::FILE* const stream = ::popen(line.c_str(), "r");
    std::array<char, 512> text{};
    while (std::fgets(text.data(), text.size(), stream) != nullptr) {
        result.out += text.data();
    }
    result.code = WEXITSTATUS(::pclose(stream));
    return result;
}

/// Sends short calls to all entries until it ends.
class steady_calls {
public:
    explicit steady_calls(const system_fixture& system) {
        for (std::size_t i = 0; i < 4; ++i) {
            const standin_caller caller = system.caller(i % system.entries.size());
            threads_.emplace_back([this, caller] { run(caller); });
        }
    }
    ~steady_calls() {
        stopping_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }
    steady_calls(const steady_calls&) = delete;
    steady_calls& operator=(const steady_calls&) = delete;

private:
    void run(standin_caller caller) {
        while (!stopping_) {
            (void)caller.whole("chat", "x", 2);
            std::this_thread::sleep_for(millis{5});
        }
    }

    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

/// Two entries, two control processes, and an engine of the next version of the service "chat".
struct moving_system {
    system_fixture system{2, 2};
    child_process next{"engine-standin", {"--model-version", "v2"}};
    http_table rows{parse_endpoint(system.platform->listening()).value()};
    /// The ends that any control process told for the move.
    std::set<std::string> ends;

    moving_system() {
        settings_change change;
        change.id = change_id("second");
        change.author = operator_id("test");
        change.expected = revision(1);
        change.edits["/operators/ana"] =
            absl::StrCat("key_sha256: ", sha256_hex(operator_key), "\nsubtrees: [/]\n");
        change.edits["/teams/frio/backends/chat-next"] =
            absl::StrCat("service: chat\nversion: v2\naddress: ", next.listening(),
                         "\nhost: chat-host-next\nfailure_domain: d0\n");
        const auto applied = settings_store(rows).apply(change);
        INFO(applied.status().message());
        REQUIRE(applied.ok());
        start_controls();
    }

    void start_controls() {
        for (std::size_t i = 0; i < 2; ++i) {
            system.start_control(i);
            CHECK(eventually([this, i] { return jujubectl("move status", control(i)).code == 0; }));
        }
    }

    endpoint control(std::size_t index) const {
        return parse_endpoint(system.controls[index]->listening()).value();
    }

    void start_move() const {
        const std::string start = "move start chat --to v2 --by +60s --move-id m1";
        CHECK(eventually([&] {
            const auto refused = jujubectl(start, control(0));
            CHECK(refused.code == 3);
            return refused.out.find("the earliest is 20") != std::string::npos;
        }));
        const auto started = jujubectl(start + " --anyway", control(0));
        INFO(started.out);
        REQUIRE(started.code == 0);
    }

    /// The move as one control process's own board tells it; "" where it does not answer.
    std::string told_by(std::size_t index) {
        const auto answer = http_call(control(index), "GET", "/v1/status", "", {},
                                      {{"Authorization", absl::StrCat("Bearer ", operator_key)}});
        if (!answer.ok() || answer->status != 200) {
            return "";
        }
        const json status = json::parse(answer->body);
        for (const json& service : status["services"]) {
            if (service["id"] == "chat" && !service["move"].is_null()) {
                std::string state = service["move"]["state"];
                if (state == "done" || state == "taken_back") {
                    ends.insert(state);
                }
                return state;
            }
        }
        return "";
    }

    bool told_everywhere(const std::string& state) {
        const std::string first = told_by(0);
        return told_by(1) == first && first == state;
    }

    std::string move_status(std::size_t index) const {
        const auto shown = jujubectl("move status --output json", control(index));
        CHECK(shown.code == 0);
        return json::parse(shown.out)["moves"][0]["state"];
    }

    /// Index of the control process that holds the moves' lease, once one does.
    std::optional<std::size_t> holder() {
        const auto row = rows.get("/leases/moves");
        if (!row.ok() || !*row) {
            return std::nullopt;
        }
        return (*row)->value.find("control-0/") == std::string::npos ? 1 : 0;
    }

    int calls_of_next() const {
        const auto state =
            http_call(parse_endpoint(next.listening()).value(), "GET", "/v1/state", "", {});
        REQUIRE(state.ok());
        return static_cast<int>(json::parse(state->body)["executions_by_attempt"].size());
    }
};

} // namespace

TEST_CASE("a move of a good version runs to its end and all control processes tell it as done") {
    moving_system moving;
    const steady_calls calls(moving.system);
    moving.start_move();
    CHECK(eventually([&moving] { return moving.told_everywhere("done"); }, longest_move));
    CHECK(moving.move_status(0) == "done");
    CHECK(moving.move_status(1) == "done");
    CHECK(moving.ends == std::set<std::string>{"done"});
    const int before = moving.calls_of_next();
    CHECK(eventually([&] { return moving.calls_of_next() >= before + 20; }));
}

TEST_CASE("a bad version is taken back and stays so over a kill of the steering process and a "
          "restart of all") {
    moving_system moving;
    {
        const steady_calls calls(moving.system);
        moving.start_move();
        CHECK(eventually([&moving] { return moving.calls_of_next() >= 5; }, longest_move));
        const auto steering = moving.holder();
        REQUIRE(steering.has_value());
        system_fixture::set_faults(moving.next, R"({"end_early": {"calls": -1, "at_piece": 1}})");
        moving.system.controls[*steering]->signal(SIGKILL);
        const std::size_t other = 1 - *steering;
        CHECK(eventually([&] { return moving.told_by(other) == "taken_back"; }, longest_move));
        moving.system.start_control(*steering);
        CHECK(eventually([&moving] { return moving.told_everywhere("taken_back"); }));
    }
    for (std::size_t i = 0; i < 2; ++i) {
        moving.system.controls[i]->signal(SIGKILL);
        moving.system.entries[i]->signal(SIGKILL);
    }
    for (std::size_t i = 0; i < 2; ++i) {
        moving.system.start_entry(i);
        CHECK(moving.system.wait_ready(i));
    }
    moving.start_controls();
    const int before = moving.calls_of_next();
    const steady_calls calls(moving.system);
    CHECK(eventually([&moving] { return moving.told_everywhere("taken_back"); }));
    // Longer than the lease takes to change hands and the entries to be permitted again.
    for (int i = 0; i < 25; ++i) {
        std::this_thread::sleep_for(millis{1'000});
        CHECK(moving.told_everywhere("taken_back"));
    }
    CHECK(moving.calls_of_next() == before);
    CHECK(moving.move_status(0) == "taken_back");
    CHECK(moving.ends == std::set<std::string>{"taken_back"});
}
