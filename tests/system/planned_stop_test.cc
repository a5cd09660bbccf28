#include "standins/standin_answer.h"
#include "support/eventually.h"
#include "system_fixture.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace jujubetide;

namespace {

std::size_t entries_known(const system_fixture& system, std::size_t index) {
    const auto answer = http_call(system.entry(index), "GET", "/v1/entries", "", {});
    return answer.ok() && answer->status == 200
               ? nlohmann::json::parse(answer->body)["entries"].size()
               : 0;
}

void wait_until_met(const system_fixture& system) {
    for (std::size_t i = 0; i < system.entries.size(); ++i) {
        CHECK(eventually([&] { return entries_known(system, i) == system.entries.size(); }));
    }
}

/// The entries that a client uses: keeps the list for its full lifetime, then asks for a new one.
class address_book {
public:
    explicit address_book(const endpoint& first) : entries_{first} { refresh(); }

    endpoint current() {
        if (std::chrono::steady_clock::now() >= good_until_) {
            refresh();
        }
        return entries_.front();
    }
    /// Asks the entries of the list in their order.
    void refresh() {
        for (const endpoint& known : std::vector<endpoint>(entries_)) {
            const auto answer = http_call(known, "GET", "/v1/entries", "", {});
            if (answer.ok() && answer->status == 200 && take(answer->body)) {
                return;
            }
        }
    }

private:
    bool take(const std::string& body) {
        const auto list = nlohmann::json::parse(body);
        std::vector<endpoint> fresh;
        for (const auto& entry : list["entries"]) {
            fresh.push_back(parse_endpoint(entry["address"]).value());
        }
        if (fresh.empty()) {
            return false;
        }
        entries_ = std::move(fresh);
        good_until_ = std::chrono::steady_clock::now() + millis(list["lifetime_ms"].get<int>());
        return true;
    }

    std::vector<endpoint> entries_;
    std::chrono::steady_clock::time_point good_until_;
};

/// Callers that send stream after stream, as clients do. Refusals as not run are sent again.
class steady_callers {
public:
    steady_callers(const system_fixture& system, int count) {
        for (int i = 0; i < count; ++i) {
            const endpoint first =
                system.entry(static_cast<std::size_t>(i) % system.entries.size());
            threads_.emplace_back([this, i, first] { run(i, first); });
        }
    }
    void stop() {
        stopping_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    /// Waits until a stream has begun at `entry` since this call.
    bool wait_for_begin(const endpoint& entry) {
        const int before = begun_at(entry);
        return eventually([&] { return begun_at(entry) > before; });
    }

    std::atomic<int> whole{0};
    std::atomic<int> broken{0};
    std::atomic<int> moves{0};
    std::atomic<int> refused{0};
    std::mutex mutex;
    std::string notes;

private:
    /// A stream of this length outlasts the time for which a stopping entry lets streams end.
    static constexpr std::uint32_t pieces = 200;

    int begun_at(const endpoint& entry) {
        const std::lock_guard lock(mutex);
        return begun_[entry.str()];
    }
    void note_begin(const endpoint& entry) {
        const std::lock_guard lock(mutex);
        ++begun_[entry.str()];
    }

    void run(int number, const endpoint& first) {
        address_book entries(first);
        for (int call = 0; !stopping_; ++call) {
            send("caller " + std::to_string(number) + " call " + std::to_string(call), entries);
        }
    }

    void send(const std::string& prompt, address_book& entries) {
        for (;;) {
            const endpoint entry = entries.current();
            const auto on_piece = [this, &entry](std::size_t count) {
                if (count == 1) {
                    note_begin(entry);
                }
                return true;
            };
            const caller_answer answer =
                standin_caller(entry, system_fixture::key).stream("chat", prompt, pieces, on_piece);
            moves += answer.moves;
            if (answer.outcome == "not_run") {
                ++refused;
                entries.refresh();
                std::this_thread::sleep_for(millis{20});
                continue;
            }
            const bool good = answer.whole && answer.text == standin_answer(prompt, pieces);
            ++(good ? whole : broken);
            if (!good) {
                std::this_thread::sleep_for(millis{20});
                const std::lock_guard lock(mutex);
                notes += std::to_string(answer.status) + " " + answer.code + " " + answer.error +
                         " moves " + std::to_string(answer.moves) + "\n";
            }
            return;
        }
    }

    std::atomic<bool> stopping_{false};
    /// Streams that have begun, by the entry's address; guarded by `mutex`.
    std::map<std::string, int> begun_;
    std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE("a stopped entry process hands its streams to another process") {
    const system_fixture system(2, 3);
    wait_until_met(system);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 50})");
    }
    constexpr std::uint32_t pieces = 200;
    const caller_answer answer =
        system.caller().stream("chat", "long", pieces, [&system](std::size_t count) {
            if (count == 5) {
                system.entries[0]->signal(SIGTERM);
            }
            return true;
        });
    CHECK(answer.whole);
    CHECK(answer.moves == 1);
    CHECK(answer.text == standin_answer("long", pieces));
    CHECK(system.entries[0]->wait() == 0);
}

namespace {

/// Restarts all entries, one after the other, while callers send streams; each is ended by
/// `signal` right after a stream has begun there.
void restart_all(system_fixture& system, steady_callers& callers, int signal) {
    for (std::size_t i = 0; i < system.entries.size(); ++i) {
        CHECK(callers.wait_for_begin(system.entry(i)));
        system.entries[i]->signal(signal);
        (void)system.entries[i]->wait();
        system.start_entry(i);
        CHECK(system.wait_ready(i));
        wait_until_met(system);
    }
    callers.stop();
    std::cout << "rolling restart by signal " << signal << ": " << callers.whole << " whole, "
              << callers.broken << " broken, " << callers.moves << " moves, " << callers.refused
              << " refused as not run and sent again\n";
}

} // namespace

TEST_CASE("a rolling restart of all entries under load breaks no answer") {
    system_fixture system(3, 3);
    wait_until_met(system);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 20})");
    }
    steady_callers callers(system, 12);
    restart_all(system, callers, SIGTERM);
    INFO(callers.notes);
    CHECK(callers.broken == 0);
    CHECK(callers.whole >= 12);
    CHECK(callers.moves > 0);
}

TEST_CASE("the same restart without a planned stop breaks answers") {
    system_fixture system(3, 3);
    wait_until_met(system);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 20})");
    }
    steady_callers callers(system, 12);
    restart_all(system, callers, SIGKILL);
    CHECK(callers.broken > 0);
}

TEST_CASE("an engine that says it leaves gets no new work at any entry") {
    const system_fixture system(2, 3);
    wait_until_met(system);
    system_fixture::set_faults(*system.engines[0], R"({"leaving": true})");
    const auto executions = [&system] {
        const auto state = http_call(parse_endpoint(system.engines[0]->listening()).value(), "GET",
                                     "/v1/state", "", {});
        return nlohmann::json::parse(state->body)["executions_by_attempt"].size();
    };
    // The engine reports each second, and the notice floods.
    std::this_thread::sleep_for(millis{3'000});
    const std::size_t before = executions();
    for (int i = 0; i < 60; ++i) {
        CHECK(system.caller(static_cast<std::size_t>(i) % 3).whole("chat", "x", 4).whole);
    }
    CHECK(executions() == before);
}
