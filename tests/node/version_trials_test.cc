// A service that the operators move to a version whose servers are already registered.
#include "cluster_member.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace jujubetide;

namespace {

std::string registration_of(const std::string& service, const endpoint& address,
                            const std::string& version, std::int64_t started_at_ms) {
    nlohmann::json row = nlohmann::json::parse(registration_of_test(service, address));
    row["version"] = version;
    row["born"] = started_at_ms;
    return row.dump();
}

/// Some nodes before one server of the old version and a slow one of the new version.
struct moves_fixture {
    moves_fixture(int node_count, const std::string& service)
        : old_server(loop, time, [this](scripted_call& call) { serve(call, millis{5}); }),
          new_server(loop, time, [this](scripted_call& call) { serve(call, 2 * target); }) {
        const nlohmann::json changes{{"targetLatencyMs", target.count()}};
        store.put("op", "config", config_of_test(1, {{"often", changes}, {"stream", changes}}));
        store.put("servers", "i-1", registration_of(service, old_server.address(), "v1", 1'000));
        store.put("op", "rollout/" + service,
                  nlohmann::json{{"service", service}, {"to", "v2"}, {"durationS", 30}}.dump());
        for (int i = 0; i < node_count; ++i) {
            members.push_back(std::make_unique<cluster_member>(loop, time, store, i));
        }
        REQUIRE(run_until(loop, [&] { return all_logged("move_ordered", 1); }));
        store.put("servers", "i-2", registration_of(service, new_server.address(), "v2", 2'000));
        REQUIRE(run_until(loop, [&] {
            return all_logged("server_seen", 2) && all_logged("peer_found", node_count - 1);
        }));
    }
    ~moves_fixture() { members.clear(); }
    moves_fixture(const moves_fixture&) = delete;
    moves_fixture& operator=(const moves_fixture&) = delete;

    void serve(scripted_call& call, millis after) {
        timers.push_back(loop.once(after, [&call] {
            answer(call, 200, call.head.target == "/stream/" ? event_text(1) : "ok");
        }));
    }
    [[nodiscard]] bool all_logged(const std::string& event, int count) const {
        return std::all_of(members.begin(), members.end(),
                           [&](const auto& member) { return member->log.count(event) >= count; });
    }
    /// Sends calls to `node_count` nodes in turn, some at a time.
    void call(int calls, std::size_t first_node, std::size_t node_count, const std::string& path) {
        constexpr int at_a_time = 10;
        for (int sent = 0; sent < calls; sent += at_a_time) {
            std::vector<std::unique_ptr<recorded_call>> events;
            std::vector<std::unique_ptr<http1_call>> running;
            events.reserve(at_a_time);
            running.reserve(at_a_time);
            for (int i = 0; i < at_a_time; ++i) {
                const std::size_t node = first_node + static_cast<std::size_t>(i) % node_count;
                events.push_back(std::make_unique<recorded_call>());
                call_options options;
                options.max_idle = micros{0};
                running.push_back(client.call(members.at(node)->instance->caller_endpoint(),
                                              request_of_test(path, {}), options, *events.back()));
            }
            REQUIRE(run_until(loop, [&] {
                return std::all_of(events.begin(), events.end(),
                                   [](const auto& one) { return one->over(); });
            }));
        }
    }

    static constexpr millis target{30};

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    http1_client client{loop, time};
    std::vector<std::unique_ptr<timer_subscription>> timers;
    scripted_server old_server;
    scripted_server new_server;
    std::vector<std::unique_ptr<cluster_member>> members;
};

void check_exposure(const std::string& service, const std::string& path) {
    moves_fixture fixture(2, service);
    constexpr int calls = 800;
    fixture.call(calls, 0, 2, path);
    // The users' rule, of all nodes together: a tenth of the calls.
    CHECK(fixture.new_server.calls().size() <= calls / 10);
    CHECK(fixture.new_server.calls().size() >= version_trials::max_bad_answers);
    const std::size_t before = fixture.new_server.calls().size();
    run_for(fixture.loop, millis{700});
    REQUIRE(fixture.all_logged("version_stopped", 1));
    fixture.call(calls / 4, 0, 2, path);
    CHECK(fixture.new_server.calls().size() == before);
}

} // namespace

TEST_CASE("a bad version of a plain service gets no more than its share and is stopped") {
    check_exposure("plain", "/often/");
}

TEST_CASE("a bad version of a model service gets no more than its share and is stopped") {
    check_exposure("model", "/stream/");
}

TEST_CASE("a node that starts amid a move sends a stopped version nothing") {
    moves_fixture fixture(2, "plain");
    fixture.call(800, 0, 2, "/often/");
    run_for(fixture.loop, millis{700});
    REQUIRE(fixture.all_logged("version_stopped", 1));
    const std::size_t before = fixture.new_server.calls().size();
    fixture.members.push_back(
        std::make_unique<cluster_member>(fixture.loop, fixture.time, fixture.store, 2));
    REQUIRE(run_until(fixture.loop, [&] { return fixture.all_logged("version_stopped", 1); }));
    fixture.call(100, 2, 1, "/often/");
    CHECK(fixture.new_server.calls().size() == before);
}

TEST_CASE("an order to move that makes no sense is logged and skipped") {
    node_fixture fixture;
    fixture.start();
    for (const char* row : {"", "[]", R"({"service":7,"to":"v2"})", R"({"service":"plain"})"}) {
        const int before = fixture.log.count("move_order_rejected");
        fixture.store.put("op", "rollout/plain", row);
        CHECK(run_until(fixture.loop,
                        [&] { return fixture.log.count("move_order_rejected") > before; }));
    }
    CHECK(fixture.log.count("move_ordered") == 0);
}
