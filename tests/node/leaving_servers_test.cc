// Backend servers that say in their answers that they leave, while their registrations say nothing.
#include "cluster_member.h"
#include "node_process.h"
#include "support/row_store_server.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <unistd.h>

using namespace jujubetide;

namespace {

/// The users' rule: what a caller sends later than this after a node has passed on an answer that
/// says so does not reach that server from that node.
constexpr millis drain_timeout{2'000};

/// A backend server that says in its answers that it leaves once it does.
struct leaving_server {
    leaving_server(event_loop& loop, const boot_clock& time)
        : server(loop, time, [this, &loop](scripted_call& call) {
              ++arrivals[std::string(call.head.headers.find("X-Attempt-Id").value_or(""))];
              timers.push_back(loop.once(answer_time, [this, &call] { respond(call); }));
          }) {}
    void respond(scripted_call& call) const {
        header_list headers;
        headers.add("X-Attempt-Id",
                    std::string(call.head.headers.find("X-Attempt-Id").value_or("")));
        headers.add("X-Upstream-Signature", "signed");
        if (is_leaving) {
            headers.add("Server-Leaving", "1");
        }
        const bool is_stream = call.head.target == "/stream/";
        call.exchange->respond(200, headers, is_stream ? event_text(1) : "ok");
    }

    bool is_leaving = false;
    millis answer_time{5};
    std::map<std::string, int> arrivals;
    std::vector<std::unique_ptr<timer_subscription>> timers;
    scripted_server server;
};

/// Requests to several nodes, and what the rule says about them.
struct watched_callers {
    watched_callers(event_loop& used_loop, const boot_clock& used_time)
        : loop(used_loop), time(used_time) {}
    struct sent_call {
        std::size_t node = 0;
        time_point at{};
        recorded_call events;
        std::unique_ptr<http1_call> call;
    };

    void send(std::size_t node, const endpoint& address, const std::string& path) {
        const std::string id = "id-" + std::to_string(calls.size());
        header_list headers;
        headers.add("Host", "h.example");
        headers.add("X-Attempt-Id", id);
        headers.add("Authorization", "Token key");
        auto sent = std::make_unique<sent_call>();
        sent->node = node;
        sent->at = time.now();
        call_options options;
        options.max_idle = micros{0};
        sent->call = client.call(address, serialize_request("POST", path, headers, "body"), options,
                                 sent->events);
        calls[id] = std::move(sent);
    }
    /// Notes which nodes have passed on an answer that says that the server leaves.
    void look() {
        for (const auto& [id, sent] : calls) {
            if (sent->events.whole && sent->events.head.headers.has("Server-Leaving")) {
                told.try_emplace(sent->node, time.now());
            }
        }
    }
    [[nodiscard]] std::vector<std::string> late_arrivals(const leaving_server& server) const {
        std::vector<std::string> late;
        for (const auto& [id, count] : server.arrivals) {
            const sent_call& sent = *calls.at(id);
            const auto since = told.find(sent.node);
            if (since != told.end() && sent.at > since->second + drain_timeout) {
                late.push_back(id);
            }
        }
        return late;
    }
    [[nodiscard]] bool all_over() const {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& item) { return item.second->events.over(); });
    }
    [[nodiscard]] long not_answered() const {
        return std::count_if(calls.begin(), calls.end(), [](const auto& item) {
            return !item.second->events.whole || item.second->events.head.status != 200;
        });
    }

    event_loop& loop;
    const boot_clock& time;
    http1_client client{loop, time};
    std::map<std::string, std::unique_ptr<sent_call>> calls;
    std::map<std::size_t, time_point> told;
};

void check_leaving_server_is_left(const std::string& service, const std::string& path) {
    event_loop loop;
    const boot_clock time;
    fake_row_store store{loop};
    leaving_server leaving(loop, time);
    leaving_server staying(loop, time);
    store.put("op", "config", config_of_test(1, nlohmann::json::object()));
    store.put("servers", "i-1", registration_of_test(service, leaving.server.address()));
    store.put("servers", "i-2", registration_of_test(service, staying.server.address()));
    std::vector<std::unique_ptr<cluster_member>> members;
    members.reserve(2);
    for (int i = 0; i < 2; ++i) {
        members.push_back(std::make_unique<cluster_member>(loop, time, store, i));
    }
    REQUIRE(run_until(loop, [&] {
        return std::all_of(members.begin(), members.end(), [](const auto& member) {
            return member->log.count("server_seen") == 2 && member->log.count("peer_found") == 1;
        });
    }));
    watched_callers callers{loop, time};
    std::size_t sent = 0;
    const auto sending = loop.every(millis{20}, millis{20}, [&] {
        callers.look();
        const std::size_t node = sent++ % members.size();
        callers.send(node, members[node]->instance->caller_endpoint(), path);
    });
    run_for(loop, millis{300});
    leaving.is_leaving = true;
    run_for(loop, drain_timeout + millis{1'500});
    REQUIRE(run_until(loop, [&] { return callers.all_over(); }));
    CHECK_FALSE(callers.told.empty());
    CHECK(callers.late_arrivals(leaving).empty());
    CHECK(callers.not_answered() == 0);
    members.clear();
}

} // namespace

TEST_CASE("a plain server that says that it leaves gets no further calls") {
    check_leaving_server_is_left("plain", "/often/");
}

TEST_CASE("an engine that says that it leaves gets no further calls") {
    check_leaving_server_is_left("model", "/stream/");
}

TEST_CASE("a peer's answer tells a node that a server leaves") {
    event_loop loop;
    const boot_clock time;
    fake_row_store store{loop};
    leaving_server leaving(loop, time);
    leaving.is_leaving = true;
    store.put("op", "config", config_of_test(1, nlohmann::json::object()));
    store.put("servers", "i-1", registration_of_test("plain", leaving.server.address()));
    cluster_member first(loop, time, store, 0);
    cluster_member second(loop, time, store, 1);
    REQUIRE(run_until(loop, [&] {
        return first.log.count("peer_found") == 1 && second.log.count("peer_found") == 1 &&
               first.log.count("server_seen") == 1 && second.log.count("server_seen") == 1;
    }));
    watched_callers callers{loop, time};
    callers.send(0, first.instance->caller_endpoint(), "/often/");
    REQUIRE(run_until(loop, [&] { return second.log.count("server_leaving_notice") == 1; }));
    callers.send(1, second.instance->caller_endpoint(), "/often/");
    REQUIRE(run_until(loop, [&] { return callers.all_over(); }));
    CHECK(leaving.arrivals.size() == 1);
    CHECK(callers.not_answered() == 1); // No other server is left: refused at once.
}

TEST_CASE("a leaving notice that makes no sense is logged and ignored") {
    node_fixture fixture;
    fixture.start();
    fixture.add_server("i-1", "plain", [](scripted_call& call) {
        header_list headers;
        headers.add("X-Attempt-Id", "id-1");
        headers.add("X-Upstream-Signature", "signed");
        headers.add("Server-Leaving", "soon");
        call.exchange->respond(200, headers, "ok");
    });
    CHECK(fixture.call("/often/").head.status == 200);
    CHECK(fixture.call("/often/").head.status == 200);
    CHECK(fixture.log.count("server_leaving_rejected") == 2);
    CHECK(fixture.log.count("server_leaving_notice") == 0);
}

TEST_CASE("node programs send nothing to a server that left while the store was away") {
    event_loop loop;
    const boot_clock time;
    const std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                         ("jujubetide-leaving-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    fake_row_store store{loop};
    auto store_server = std::make_unique<row_store_server>(loop, time, store);
    leaving_server leaving(loop, time);
    leaving_server staying(loop, time);
    store.put("op", "config", config_of_test(1, nlohmann::json::object()));
    store.put("servers", "i-1", registration_of_test("plain", leaving.server.address()));
    store.put("servers", "i-2", registration_of_test("plain", staying.server.address()));
    constexpr int node_count = 3;
    std::vector<std::unique_ptr<node_process>> nodes;
    nodes.reserve(node_count);
    for (int i = 1; i <= node_count; ++i) {
        nodes.push_back(std::make_unique<node_process>(folder, i, store_server->address()));
        nodes.back()->start();
    }
    watched_callers callers{loop, time};
    const auto serve_all = [&] {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            callers.send(node, nodes[node]->caller_endpoint(), "/once/");
        }
        run_for(loop, millis{100});
        const bool all = callers.all_over() && callers.not_answered() == 0;
        callers.calls.clear();
        return all;
    };
    constexpr int max_attempts = 100;
    int attempts = 0;
    while (!serve_all() && ++attempts < max_attempts) {
    }
    REQUIRE(attempts < max_attempts);
    leaving.arrivals.clear();
    staying.arrivals.clear();

    std::size_t sent = 0;
    const auto sending = loop.every(millis{20}, millis{20}, [&] {
        callers.look();
        const std::size_t node = sent++ % nodes.size();
        callers.send(node, nodes[node]->caller_endpoint(), "/once/");
    });
    run_for(loop, millis{300});
    store_server.reset(); // The store is away when the server leaves.
    leaving.is_leaving = true;
    // Both servers are slow to answer for a while, as suspended ones are.
    leaving.answer_time = staying.answer_time = millis{900};
    run_for(loop, millis{1'200});
    leaving.answer_time = staying.answer_time = millis{5};
    run_for(loop, drain_timeout + millis{1'500});
    REQUIRE(run_until(loop, [&] { return callers.all_over(); }));
    CHECK(callers.told.size() == node_count);
    CHECK(callers.late_arrivals(leaving).empty());
    CHECK(callers.not_answered() == 0);
    nodes.clear();
    std::error_code ignored; // A log that cannot be removed harms no later run.
    std::filesystem::remove_all(folder, ignored);
}
