// Several nodes, of which a few follow the store's tables for all, with their own sockets on one
// loop.
#include "cluster_member.h"
#include "node/peer_exchange.h"
#include "node/peer_heartbeat.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jujubetide;

namespace {

void put_server(fake_row_store& store, const std::string& id, const std::string& state = "ready") {
    store.put("servers", id,
              nlohmann::json{{"service", "plain"},
                             {"address", "127.0.0.1:9"},
                             {"zone", "z1"},
                             {"version", "v1"},
                             {"slots", 8},
                             {"state", state}}
                  .dump());
}

struct cluster_fixture {
    explicit cluster_fixture(int count) {
        for (int i = 0; i < count; ++i) {
            members.push_back(std::make_unique<cluster_member>(loop, time, store, i));
        }
        REQUIRE(run_until(loop, [this] { return reader_count() == 3; }));
        run_for(loop, millis{600});
        REQUIRE(reader_count() == 3);
    }
    [[nodiscard]] int reader_count() const {
        return static_cast<int>(
            std::count_if(members.begin(), members.end(),
                          [](const auto& member) { return member->is_following(); }));
    }
    void register_server(const std::string& id, const std::string& state = "ready") {
        put_server(store, id, state);
    }
    [[nodiscard]] int event_count(const std::string& event) const {
        int sum = 0;
        for (const auto& member : members) {
            sum += member->log.count(event);
        }
        return sum;
    }

    event_loop loop;
    boot_clock time;
    fake_row_store store{loop};
    std::vector<std::unique_ptr<cluster_member>> members;
};

/// A peer that has run longer than all others, sends heartbeats, and accepts connections without
/// ever answering.
class silent_peer {
public:
    silent_peer(cluster_fixture& fixture, int number)
        : address_{"127.0.0.1", own_port(number)},
          listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
          datagrams_(*udp_socket::make(fixture.loop, address_, [](std::string_view) {})) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(address_.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
                0);
        constexpr int max_pending = 16;
        REQUIRE(::listen(listener_, max_pending) == 0);
        const std::string name = "n" + std::to_string(number);
        fixture.store.put(peer_exchange::table, name,
                          nlohmann::json{{"start", 1},
                                         {"callers", address_.str()},
                                         {"peers", address_.str()},
                                         {"failure_domain", "z"}}
                              .dump());
        heartbeat_.node = node_id(name);
        heartbeat_.start = incarnation(1);
        heartbeat_.has_usage_history = true;
        // Other nodes are table readers.
        heartbeat_.reaches_store = false;
        constexpr int max_members = 10;
        timer_ = fixture.loop.every(peer_exchange::heartbeat_period, micros{0}, [this] {
            for (int i = 0; i < max_members; ++i) {
                datagrams_->send({"127.0.0.1", own_port(i)}, encode(heartbeat_));
            }
        });
    }
    ~silent_peer() { ::close(listener_); }
    silent_peer(const silent_peer&) = delete;
    silent_peer& operator=(const silent_peer&) = delete;

    [[nodiscard]] bool has_connections() const {
        const int connection = ::accept(listener_, nullptr, nullptr);
        if (connection >= 0) {
            ::close(connection);
        }
        return connection >= 0;
    }

private:
    endpoint address_;
    int listener_;
    std::unique_ptr<udp_socket> datagrams_;
    peer_heartbeat heartbeat_;
    std::unique_ptr<timer_subscription> timer_;
};

/// Each node must have a change within this time of its commit.
constexpr millis max_propagation_time{2'000};

} // namespace

TEST_CASE("a change reaches every node although only a few follow the store") {
    cluster_fixture fixture(8);
    const int before = fixture.store.change_calls_of_table["servers"];
    constexpr int changes = 4;
    for (int i = 1; i <= changes; ++i) {
        fixture.register_server("i-" + std::to_string(i));
        CHECK(run_until(
            fixture.loop, [&] { return fixture.event_count("server_seen") == 8 * i; },
            max_propagation_time));
    }
    fixture.register_server("i-1", "draining");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_leaving") == 8; },
        max_propagation_time));
    fixture.store.remove("servers", "i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_gone") == 8; },
        max_propagation_time));
    // Each change ends one waiting call of each reader; some waiting calls time out.
    CHECK(fixture.store.change_calls_of_table["servers"] - before <= 3 * (changes + 2) + 9);
}

TEST_CASE("other nodes take over when the nodes that follow the store end") {
    cluster_fixture fixture(6);
    std::erase_if(fixture.members, [](const auto& member) { return member->is_following(); });
    REQUIRE(fixture.members.size() == 3);
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 3; }, millis{3'000}));
}

TEST_CASE("a change reaches a started node whose oldest peer does not send its usage counts") {
    cluster_fixture fixture(5);
    const silent_peer oldest(fixture, 5);
    cluster_member started(fixture.loop, fixture.time, fixture.store, 6, nullptr, 0.5);
    run_for(fixture.loop, millis{2'500});
    REQUIRE_FALSE(started.is_following());
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return started.log.count("server_seen") == 1; }, max_propagation_time));
    // Its usage counts were asked for.
    CHECK(oldest.has_connections());
}

TEST_CASE("other nodes take over when the store rejects the nodes that follow it") {
    cluster_fixture fixture(6);
    for (const auto& member : fixture.members) {
        member->store.set_open(!member->is_following());
    }
    // The readers notice at the end of a waiting call.
    run_for(fixture.loop, millis{3'000});
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 6; },
        max_propagation_time));
}

TEST_CASE("a store that is down for all nodes is called rarely, then followed again") {
    cluster_fixture fixture(8);
    fixture.store.set_failure(absl::UnavailableError("down"));
    run_for(fixture.loop, millis{3'000});
    const int before = fixture.store.change_calls;
    run_for(fixture.loop, millis{3'000});
    // Three readers of three tables at most every 0.8 s, and the others at most every 3 s.
    CHECK(fixture.store.change_calls - before <= 3 * 3 * 6 + 5 * 2);
    fixture.store.set_failure(absl::OkStatus());
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 8; }, millis{2'000}));
}

TEST_CASE("a restored store's changes reach every node although their versions are known") {
    cluster_fixture fixture(8);
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 8; },
        max_propagation_time));
    fixture.store.take_copy();
    for (int i = 0; i < 5; ++i) {
        fixture.store.put("servers", "other", "{}");
    }
    run_for(fixture.loop, millis{1'000});
    fixture.store.restore();
    fixture.register_server("i-2");
    for (int i = 0; i < 9; ++i) {
        fixture.store.put("elsewhere", "x", std::to_string(i));
    }
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 16; },
        max_propagation_time));
    CHECK(fixture.event_count("server_vanished") == 0);
    const int before = fixture.store.change_calls_of_table["servers"];
    run_for(fixture.loop, millis{3'000});
    // Only the readers follow the table again.
    CHECK(fixture.store.change_calls_of_table["servers"] - before <= 3 * 3);
}

TEST_CASE("a node that starts before a restored store takes over its peers' newer configuration") {
    event_loop loop;
    const boot_clock time;
    fake_row_store store{loop};
    store.put("op", "config", config_of_test(3, nlohmann::json::object()));
    store.take_copy();
    store.put("op", "config", config_of_test(4, nlohmann::json::object()));
    std::vector<std::unique_ptr<cluster_member>> members;
    members.push_back(std::make_unique<cluster_member>(loop, time, store, 0));
    REQUIRE(run_until(loop, [&] { return members[0]->log.count("config_in_force") == 1; }));
    store.restore();
    members.push_back(std::make_unique<cluster_member>(loop, time, store, 1));
    const auto newest = [&](const cluster_member& member) {
        std::string version;
        for (const auto& line : member.log.lines) {
            version = line.name == "config_in_force" ? line.fields.at("config") : version;
        }
        return version;
    };
    CHECK(run_until(
        loop, [&] { return newest(*members[1]) == "4"; }, millis{4'000}));
    CHECK(newest(*members[0]) == "4");
    // The operators' next write counts at once.
    store.put("op", "config", config_of_test(5, nlohmann::json::object()));
    CHECK(run_until(
        loop, [&] { return newest(*members[0]) == "5" && newest(*members[1]) == "5"; },
        max_propagation_time));
}

TEST_CASE(
    "servers that a restore lost stay usable while a second restore keeps them from registering") {
    cluster_fixture fixture(4);
    fixture.store.take_copy();
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 4; },
        max_propagation_time));
    for (int i = 0; i < 2; ++i) {
        fixture.store.restore();
        run_for(fixture.loop, millis{1'300});
        fixture.store.set_failure(absl::UnavailableError("away"));
        run_for(fixture.loop, millis{1'400});
        fixture.store.set_failure(absl::OkStatus());
    }
    CHECK(fixture.event_count("server_gone") == 0);
    fixture.register_server("i-1");
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_seen") == 8; },
        max_propagation_time));
    // Without a restore since, a lost server that does not register is gone as after an outage.
    fixture.store.restore();
    CHECK(run_until(
        fixture.loop, [&] { return fixture.event_count("server_gone") == 4; }, millis{5'000}));
}

TEST_CASE("tables of a restored store reach 72 nodes as soon as 7 (simulation of a deployment)") {
    const int count = GENERATE(7, 72);
    event_loop loop;
    const boot_clock time;
    fake_row_store store{loop};
    std::vector<std::unique_ptr<cluster_member>> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.push_back(std::make_unique<cluster_member>(loop, time, store, i));
    }
    const auto have_all_seen = [&members](const std::string& server) {
        return std::all_of(members.begin(), members.end(), [&server](const auto& member) {
            const auto& lines = member->log.lines;
            return std::any_of(lines.begin(), lines.end(), [&server](const auto& line) {
                return line.name == "server_seen" && line.fields.at("server") == server;
            });
        });
    };
    put_server(store, "i-0");
    REQUIRE(run_until(
        loop,
        [&] {
            return have_all_seen("i-0") &&
                   store.rows(peer_exchange::table).size() == members.size();
        },
        millis{10'000}));
    for (const millis away : {millis{0}, millis{1'000}}) {
        store.take_copy();
        put_server(store, "replaced");
        const int commits_before = store.commits;
        store.set_failure(absl::UnavailableError("away"));
        run_for(loop, away);
        store.restore();
        store.set_failure(absl::OkStatus());
        const std::string server = "i-" + std::to_string(away.count() + 1);
        put_server(store, server);
        CHECK(run_until(
            loop, [&] { return have_all_seen(server); }, max_propagation_time));
        run_for(loop, millis{2'000});
        // Each node writes its own row again, once.
        CHECK(store.commits - commits_before <= count);
    }
}
