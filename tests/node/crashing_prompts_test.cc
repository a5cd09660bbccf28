// Engines that crash as soon as they begin to answer a call with a certain prompt part.
#include "cluster_member.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

using namespace jujubetide;

namespace {

/// The part that crashes engines.
constexpr const char* crashing_part = "bad";
/// Crashes after which, and calls with the part that may still reach an engine then, by the users'
/// rule.
constexpr int max_crashes = 5;
constexpr int max_calls_after_crashes = 3;
/// Nodes tell each other about a crash within this time.
constexpr millis exchange_time{400};

bool has_part(const scripted_call& call, const std::string& part) {
    const std::string parts(call.head.headers.find("X-Prompt-Prefix").value_or(""));
    return ("," + parts).find("," + part + ":") != std::string::npos;
}

/// Some nodes and many engines that crash on `crashing_part`.
struct crashing_fixture {
    explicit crashing_fixture(int node_count) {
        for (int i = 0; i < node_count; ++i) {
            members.push_back(std::make_unique<cluster_member>(loop, time, store, i));
        }
        store.put("op", "config", config_of_test(1, nlohmann::json::object()));
        REQUIRE(run_until(loop, [this] { return all_logged("config_in_force", 1); }));
        constexpr int engine_count = 6;
        for (int i = 1; i <= engine_count; ++i) {
            add_engine();
            REQUIRE(run_until(loop, [this, i] { return all_logged("server_seen", i); }));
        }
        if (node_count > 1) {
            REQUIRE(run_until(loop, [this] { return all_logged("peer_found", 1); }));
        }
    }
    ~crashing_fixture() { members.clear(); }
    crashing_fixture(const crashing_fixture&) = delete;
    crashing_fixture& operator=(const crashing_fixture&) = delete;

    void add_engine() {
        const std::string id = "i-" + std::to_string(engines.size() + 1);
        engines.push_back(
            std::make_unique<scripted_server>(loop, time, [this](scripted_call& call) {
                if (!has_part(call, crashing_part)) {
                    begin_events(call);
                    call.exchange->write(event_text(1));
                    call.exchange->finish();
                    return;
                }
                ++crashing_calls;
                timers.push_back(loop.once(millis{1}, [this, &call] { crash_engine_of(call); }));
            }));
        store.put("servers", id, registration_of_test("model", engines.back()->address()));
    }
    /// Crashes the engine that has `call`, and registers another one in its place.
    void crash_engine_of(const scripted_call& call) {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto& calls = engines[i]->calls();
            if (engines[i]->has_crashed() ||
                std::none_of(calls.begin(), calls.end(),
                             [&call](const auto& other) { return other.get() == &call; })) {
                continue;
            }
            engines[i]->crash();
            if (++crashes == max_crashes) {
                calls_at_max_crashes = crashing_calls;
            }
            store.remove("servers", "i-" + std::to_string(i + 1));
            add_engine();
            return;
        }
    }
    [[nodiscard]] bool all_logged(const std::string& event, int count) const {
        return std::all_of(members.begin(), members.end(),
                           [&](const auto& member) { return member->log.count(event) >= count; });
    }
    /// Sends a call with the prompt `parts` to a node and waits for its end.
    recorded_call call(std::size_t node, const std::string& path, const std::string& parts) {
        recorded_call events;
        header_list more;
        more.add("X-Prompt-Prefix", parts);
        call_options options;
        options.max_idle = micros{0};
        const auto running = client.call(members.at(node)->instance->caller_endpoint(),
                                         request_of_test(path, more), options, events);
        REQUIRE(run_until(loop, [&] { return events.over(); }));
        return events;
    }
    /// Calls with the crashing part that reached engines after the last tolerated crash.
    [[nodiscard]] int calls_after_crashes() const {
        return crashes < max_crashes ? 0 : crashing_calls - calls_at_max_crashes;
    }

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    http1_client client{loop, time};
    std::vector<std::unique_ptr<cluster_member>> members;
    std::vector<std::unique_ptr<scripted_server>> engines;
    std::vector<std::unique_ptr<timer_subscription>> timers;
    int crashing_calls = 0;
    int crashes = 0;
    int calls_at_max_crashes = 0;
};

} // namespace

TEST_CASE("calls with a prompt part that crashes engines stop reaching engines") {
    crashing_fixture fixture(1);
    for (int i = 1; i <= 12; ++i) {
        const std::string own = std::to_string(i);
        (void)fixture.call(0, "/stream/", "shared:10,bad:20,own" + own + ":30");
        const recorded_call sound =
            fixture.call(0, "/stream/", "shared:10,good" + own + ":20,own:30");
        CHECK(sound.whole);
        CHECK(sound.head.status == 200);
        run_for(fixture.loop, exchange_time);
    }
    CHECK(fixture.calls_after_crashes() <= max_calls_after_crashes);
}

TEST_CASE("a call that crashed engines is not repeated until no engine is left") {
    crashing_fixture fixture(1);
    for (int i = 1; i <= 8; ++i) {
        (void)fixture.call(0, "/resumed/", "shared:10,bad:20,own" + std::to_string(i) + ":30");
        CHECK(fixture.call(0, "/resumed/", "shared:10,good:20,own:30").whole);
        run_for(fixture.loop, exchange_time);
    }
    CHECK(fixture.calls_after_crashes() <= max_calls_after_crashes);
}

TEST_CASE("a prompt part that crashed engines of one node's calls is stopped at all nodes") {
    crashing_fixture fixture(3);
    for (int i = 1; i <= 12; ++i) {
        (void)fixture.call(static_cast<std::size_t>(i) % 3, "/stream/",
                           "shared:10,bad:20,own" + std::to_string(i) + ":30");
        run_for(fixture.loop, exchange_time);
    }
    CHECK(fixture.calls_after_crashes() <= max_calls_after_crashes);
}

// A node spent 0.7 s on each refusal, as it compared each part of the prompt with all others.
TEST_CASE("a node refuses long prompts that crash engines faster than they come") {
    crashing_fixture fixture(1);
    // As many parts as fit into a request's head.
    std::string parts = "bad:1,";
    constexpr int part_count = 2'539;
    for (int i = 0; i < part_count; ++i) {
        absl::StrAppend(&parts, absl::Hex(i, absl::kZeroPad3), ":1,");
    }
    constexpr int crashing_calls = 4;
    for (int i = 1; i <= crashing_calls; ++i) {
        (void)fixture.call(0, "/stream/", parts + "own" + std::to_string(i) + ":1");
        run_for(fixture.loop, exchange_time);
    }
    const int crashes = fixture.crashes;
    REQUIRE(crashes >= 2);
    constexpr int calls = 40;
    // Four calls a second, the rate of one customer.
    constexpr std::chrono::seconds time_of_calls{10};
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 1; i <= calls; ++i) {
        CHECK(fixture.call(0, "/stream/", parts + "later" + std::to_string(i) + ":1").head.status ==
              503);
    }
    CHECK(std::chrono::steady_clock::now() - begin < time_of_calls);
    CHECK(fixture.crashes == crashes);
}
